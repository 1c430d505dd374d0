//! The messages that carry a set to agents.

use std::net::SocketAddrV4;

use super::state::EvacuationSet;
use crate::flow::message::{Action, Message};

/// Returns the messages that send a set to agents.
pub(crate) fn evacuation_messages(
    set: &EvacuationSet,
    agents: impl Iterator<Item = SocketAddrV4>,
) -> Vec<Action<'static>> {
    let message = |agent| Action::send(agent, Message::Evacuations(set.clone()));
    agents.map(message).collect()
}
