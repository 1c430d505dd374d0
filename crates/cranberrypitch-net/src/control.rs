//! The control channel between daemons.
//!
//! A session is a WebSocket connection. Both ends prove that they hold a control key, then each
//! message carries a signature of a key that belongs to the session alone, so nobody on the path
//! can add, change or replay one. The messages are not encrypted.

mod channel;
mod client;
mod handshake;
mod server;
mod session;

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use cranberrypitch_core::{Revision, ServiceName, VmId};
use cranberrypitch_proto::control::{BalancerEntry, ConfigHead, ConfigShard, Digest};

pub use crate::control::client::{ControlClient, NoticeStream};
pub use crate::control::server::ControlServer;

/// The limits of control sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlOptions {
    /// The number of sessions that a server holds.
    pub max_sessions: usize,
    /// The number of peers that may authenticate at once. Each may take the memory of one message.
    pub max_handshakes: usize,
    /// From the connection to the begin of the session.
    pub handshake_timeout: Duration,
    /// From a request to its answer.
    pub request_timeout: Duration,
    /// For one message to be taken by the connection; a slower peer is dropped.
    pub write_timeout: Duration,
    /// A client sends a ping this often.
    pub ping_interval: Duration,
    /// A peer that sends nothing for this time is dropped.
    pub idle_timeout: Duration,
    /// The number of notices that wait for a slow peer or reader before it is dropped.
    pub max_queued_notices: usize,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            max_sessions: 2048,
            max_handshakes: 32,
            handshake_timeout: Duration::from_secs(5),
            request_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            ping_interval: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(10),
            max_queued_notices: 64,
        }
    }
}

/// Answers the requests of control clients.
///
/// Requests of one session are answered one after the other; those of different sessions at once.
pub trait ControlHandler: Send + Sync + 'static {
    /// Returns the head of the configuration in force if it is newer than `since`.
    fn config_head(&self, since: Revision) -> impl Future<Output = Option<ConfigHead>> + Send;

    /// Returns a shard of the configuration in force.
    fn config_shard(&self, digest: Digest) -> impl Future<Output = Option<ConfigShard>> + Send;

    /// Returns the live balancers.
    fn balancers(&self) -> impl Future<Output = Vec<BalancerEntry>> + Send;

    /// Returns the tunnel addresses of the agents of a service.
    fn peer_targets(&self, service: ServiceName) -> impl Future<Output = Vec<SocketAddrV4>> + Send;

    /// Returns the status as JSON.
    fn status(&self) -> impl Future<Output = Box<str>> + Send;

    /// Takes note that a client leaves.
    fn goodbye(&self, peer: SocketAddr, vm: VmId) -> impl Future<Output = ()> + Send;
}
