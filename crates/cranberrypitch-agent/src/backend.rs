//! The agent's interface to its backend server.
//!
//! [`BackendServer`] is the interface and [`HttpBackend`] its adapter for HTTP/1.1. The error type
//! keeps apart what may be repeated, what failed and what can't be told, since the agent promises
//! its callers that a request reported as not run truly was not run.

mod body;
mod connection;
mod errors;
mod feed;
mod http;
mod pool;
mod request;

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use cranberrypitch_core::ByteSize;

pub use self::errors::{BackendError, FailureCause, Result};
pub use self::feed::HttpFeed;
pub use self::http::{HttpBackend, HttpBackendOptions};
pub use self::request::{
    BackendLoad, BackendRequestId, BackendResponse, BackendState, CancelState, Reading, RequestInfo,
};

/// A source of a request body, read as the backend server takes it.
pub trait BodySource: Send {
    /// Returns the next part of the body, or nothing at its end.
    fn next_chunk(&mut self) -> impl Future<Output = io::Result<Option<Bytes>>> + Send;
}

/// An open feed.
pub trait FeedSource: Debug + Send {
    /// Returns the number of the next reading.
    fn next_sequence(&self) -> u64;

    /// Returns the next reading, or nothing when the backend server has ended the feed as a whole.
    ///
    /// A feed that breaks off or skips a reading is an error. Readings may be waited for in a
    /// `select!`: nothing is lost when this future is dropped.
    fn next_reading(&mut self) -> impl Future<Output = Result<Option<Reading>>> + Send;
}

/// A backend server.
///
/// Each request that is dropped before its end is abandoned, and its connection is closed.
pub trait BackendServer: Debug + Send + Sync {
    /// An open feed.
    type Feed: FeedSource;

    /// Runs an order.
    fn order(
        &self,
        info: &RequestInfo,
        body: Bytes,
    ) -> impl Future<Output = Result<BackendResponse>> + Send;

    /// Sends a file of the given length.
    fn upload<S: BodySource>(
        &self,
        info: &RequestInfo,
        body_len: ByteSize,
        body: S,
    ) -> impl Future<Output = Result<BackendResponse>> + Send;

    /// Opens a feed at a reading, or at the newest one.
    fn feed(
        &self,
        info: &RequestInfo,
        from: Option<u64>,
    ) -> impl Future<Output = Result<Self::Feed>> + Send;

    /// Asks for the state that the backend server claims to be in.
    fn health(&self) -> impl Future<Output = Result<BackendState>> + Send;

    /// Asks for the load that the backend server claims to have.
    fn load(&self) -> impl Future<Output = Result<BackendLoad>> + Send;

    /// Cancels a request, wherever it stands.
    fn cancel(&self, id: BackendRequestId) -> impl Future<Output = Result<CancelState>> + Send;

    /// Returns the address of the backend server.
    fn address(&self) -> SocketAddr;
}
