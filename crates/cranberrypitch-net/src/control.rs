//! The authenticated control channel between daemons.
//!
//! A session is a WebSocket connection. The handshake proves that both ends hold a control key.
//! Afterwards each message is signed with a key derived for the session, so that messages can't be
//! forged, modified or replayed on the path. Messages are not encrypted.

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
    /// The limit on the open sessions of a server.
    pub max_sessions: usize,
    /// The limit on concurrent handshakes. Each may take the memory of one message.
    pub max_handshakes: usize,
    /// The time limit from the connection to the start of the session.
    pub handshake_timeout: Duration,
    /// The time limit from a request to its answer.
    pub request_timeout: Duration,
    /// The time limit for writing one message; the session with a slower peer is closed.
    pub write_timeout: Duration,
    /// The interval at which a client sends pings.
    pub ping_interval: Duration,
    /// The time without a message from the peer after which the session is closed.
    pub idle_timeout: Duration,
    /// The limit on queued notices for a slow peer or reader, beyond which the session is closed.
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
/// The requests of one session are answered one after the other, those of different sessions
/// concurrently.
pub trait ControlHandler: Send + Sync + 'static {
    /// Returns the head of the active configuration if it is newer than `since`.
    fn config_head(&self, since: Revision) -> impl Future<Output = Option<ConfigHead>> + Send;

    /// Returns a shard of the active configuration, or `None` if it has no such shard.
    fn config_shard(&self, digest: Digest) -> impl Future<Output = Option<ConfigShard>> + Send;

    /// Returns the live balancers.
    fn balancers(&self) -> impl Future<Output = Vec<BalancerEntry>> + Send;

    /// Returns the tunnel addresses of the agents of a service.
    fn peer_targets(&self, service: ServiceName) -> impl Future<Output = Vec<SocketAddrV4>> + Send;

    /// Returns the status as JSON.
    fn status(&self) -> impl Future<Output = Box<str>> + Send;

    /// Handles the announcement of a client that it is shutting down.
    fn goodbye(&self, peer: SocketAddr, vm: VmId) -> impl Future<Output = ()> + Send;
}
