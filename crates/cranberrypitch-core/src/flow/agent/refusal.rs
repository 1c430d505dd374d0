//! How an agent refuses a new flow.

use std::net::SocketAddrV4;

use super::FlowAgent;
use crate::flow::cause::RefusalCause;
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, Message};
use crate::flow::packet::FlowKey;

impl FlowAgent {
    pub(super) fn refuse_bounced_syn(
        &self,
        balancer: SocketAddrV4,
        flow: FlowKey,
    ) -> Vec<Action<'static>> {
        let cause = RefusalCause::TargetFull;
        vec![
            self.refused_event(flow, cause),
            refuse(balancer, flow, cause),
        ]
    }

    pub(super) const fn refused_event<'a>(&self, flow: FlowKey, cause: RefusalCause) -> Action<'a> {
        let agent = self.identity.address;
        Action::RecordEvent(FlowEvent::Refused { flow, agent, cause })
    }
}

pub(super) fn refuse<'a>(balancer: SocketAddrV4, flow: FlowKey, cause: RefusalCause) -> Action<'a> {
    Action::send(balancer, Message::OpenRefused { flow, cause })
}
