//! What the daemons need to have translated.

use std::net::SocketAddrV4;

use cranberrypitch_core::flow::{PacketHead, Reset, RouteConfig, StatusReport};
use cranberrypitch_net::store::{Store, StoreKey};

use crate::errors::Result;

/// A call of a target to the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentCall {
    /// The target reports its status.
    Status(StatusReport),
    /// The target with this id is gone.
    Leave(Box<str>),
}

/// Translates between the platform around the system and the types of the system.
pub trait Platform: Send + Sync + 'static {
    /// The platform's key-value service.
    type Store: Store;

    /// Returns the store behind an address.
    fn store(address: SocketAddrV4) -> Self::Store;

    /// Returns the key of the operators' configuration.
    fn config_key() -> Result<StoreKey>;

    /// Reads the operators' configuration.
    fn read_config(value: &[u8]) -> Result<RouteConfig>;

    /// Reads the head of a packet and checks its length.
    fn read_head(packet: &[u8]) -> Result<PacketHead>;

    /// Returns the id of the request that a packet of a caller begins, if it can be read.
    fn request_id(packet: &[u8]) -> Option<&str>;

    /// Returns whether an answer that a packet of a target begins says that the request failed, if
    /// the packet begins an answer.
    fn is_failed_answer(packet: &[u8]) -> Option<bool>;

    /// Makes a returned packet as it was before the backend server returned it.
    fn restore_bounced(packet: &mut [u8]);

    /// Returns the packet of a reset.
    fn reset_packet(reset: &Reset) -> Vec<u8>;

    /// Reads a call of a target.
    fn read_call(method: &str, path: &str, body: &[u8]) -> Result<AgentCall>;

    /// Returns whether a path asks whether the daemon is ready.
    fn is_readiness_path(path: &str) -> bool;
}
