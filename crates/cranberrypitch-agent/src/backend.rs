//! The agent's interface to its backend server.
//!
//! [`BackendServer`] is the interface and [`HttpBackend`] its adapter for HTTP/1.1.
//! [`BackendError`] distinguishes requests that were not run, requests that failed, and requests
//! whose outcome is unknown, because the agent guarantees its callers that a request reported as
//! not run has not run.

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

/// A source of a request body, which is read at the pace of the backend server.
pub trait BodySource: Send {
    /// Returns the next chunk of the body, or `None` at its end.
    fn next_chunk(&mut self) -> impl Future<Output = io::Result<Option<Bytes>>> + Send;
}

/// An open feed of the backend server.
pub trait FeedSource: Debug + Send {
    /// Returns the sequence number of the next reading.
    fn next_sequence(&self) -> u64;

    /// Returns the next reading, or `None` when the backend server has ended the feed.
    ///
    /// This method is cancel safe: no reading is lost if the future is dropped in a `select!`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost, or a reading is malformed, skipped or repeated.
    fn next_reading(&mut self) -> impl Future<Output = Result<Option<Reading>>> + Send;
}

/// A backend server.
///
/// Dropping the future of a request aborts the request and closes its connection.
pub trait BackendServer: Debug + Send + Sync {
    /// The type of an open feed.
    type Feed: FeedSource;

    /// Sends an order and waits for its response.
    fn order(
        &self,
        info: &RequestInfo,
        body: Bytes,
    ) -> impl Future<Output = Result<BackendResponse>> + Send;

    /// Sends an upload of `body_len` bytes and waits for its response.
    fn upload<S: BodySource>(
        &self,
        info: &RequestInfo,
        body_len: ByteSize,
        body: S,
    ) -> impl Future<Output = Result<BackendResponse>> + Send;

    /// Opens a feed at the reading `from`, or at the newest one.
    fn feed(
        &self,
        info: &RequestInfo,
        from: Option<u64>,
    ) -> impl Future<Output = Result<Self::Feed>> + Send;

    /// Queries the state that the backend server reports.
    fn health(&self) -> impl Future<Output = Result<BackendState>> + Send;

    /// Queries the load that the backend server reports.
    fn load(&self) -> impl Future<Output = Result<BackendLoad>> + Send;

    /// Cancels a request that is waiting or running.
    fn cancel(&self, id: BackendRequestId) -> impl Future<Output = Result<CancelState>> + Send;

    /// Returns the address of the backend server.
    fn address(&self) -> SocketAddr;
}
