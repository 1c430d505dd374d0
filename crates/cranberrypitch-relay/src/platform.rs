//! What the daemons need to have translated.

use std::net::SocketAddrV4;
use std::time::Duration;

use cranberrypitch_core::flow::{PacketHeader, Reset, RouteConfig, StatusReport};
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

/// The limits of calls to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// The address of the store.
    pub address: SocketAddrV4,
    /// The time within which a connection is set up; the store is milliseconds away.
    pub connect_timeout: Duration,
    /// The time within which a call is answered. A slow store takes some hundred milliseconds.
    pub call_timeout: Duration,
    /// The time that the answer to a watch may take beyond its wait.
    pub watch_margin: Duration,
    /// The longest answer: a page of a listing, or one value in base64.
    pub max_body_bytes: usize,
}

impl StoreOptions {
    /// Returns the options with the usual limits.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(400),
            call_timeout: Duration::from_millis(1200),
            watch_margin: Duration::from_millis(500),
            max_body_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Translates between the platform around the system and the types of the system.
pub trait Platform: Send + Sync + 'static {
    /// The platform's key-value service.
    type Store: Store;

    /// The variable of the environment with the path of the settings file.
    const SETTINGS_VARIABLE: &'static str;

    /// Returns the store.
    fn store(options: StoreOptions) -> Self::Store;

    /// Returns the key of the operators' configuration.
    fn config_key() -> Result<StoreKey>;

    /// Reads the operators' configuration.
    fn read_config(value: &[u8]) -> Result<RouteConfig>;

    /// Reads the head of a packet and checks its length.
    fn read_head(packet: &[u8]) -> Result<PacketHeader>;

    /// Returns the id of the request that a packet of a caller begins, if it can be read.
    fn request_id(packet: &[u8]) -> Option<&str>;

    /// Returns the HTTP status of the answer that a packet of a target begins, if it begins one.
    fn answer_status(packet: &[u8]) -> Option<u16>;

    /// Makes a returned packet as it was before the backend server returned it.
    fn restore_bounced(packet: &mut [u8]);

    /// Returns the packet of a reset.
    fn reset_packet(reset: &Reset) -> Vec<u8>;

    /// Reads a call of a target.
    fn read_call(method: &str, path: &str, body: &[u8]) -> Result<AgentCall>;

    /// Returns whether a path asks whether the daemon is ready.
    fn is_readiness_path(path: &str) -> bool;
}
