//! Errors of requests to the backend server.

use std::io;

use bytes::Bytes;
use derive_more::{Display, Error};

/// A result of a request to the backend server.
pub type Result<T> = std::result::Result<T, BackendError>;

/// An error of a request to the backend server.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BackendError {
    /// The request was not run: no byte of it was sent to the backend server, or the backend server
    /// responded that it was not run.
    #[display("not run: {cause}")]
    NotRun {
        /// The reason.
        #[error(source)]
        cause: FailureCause,
    },
    /// The backend server returned a complete error response.
    #[display("backend server returned status {status}")]
    Failed {
        /// The HTTP status code.
        status: u16,
        /// The body of the response.
        body: Bytes,
    },
    /// At least one byte of the request was sent and no complete response was received, so the
    /// request may have run.
    #[display("outcome unknown: {cause}")]
    OutcomeUnknown {
        /// The reason why there is no complete response.
        #[error(source)]
        cause: FailureCause,
    },
}

impl BackendError {
    /// Returns whether the request was definitely not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Returns whether the request may or may not have run.
    pub const fn is_outcome_unknown(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { .. })
    }
}

/// The cause of a [`BackendError`].
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum FailureCause {
    /// No connection was established.
    #[display("can't connect: {kind}")]
    ConnectFailed {
        /// The error of the connection attempt.
        kind: io::ErrorKind,
    },
    /// The time limit of the request has passed.
    #[display("deadline passed")]
    DeadlineExceeded,
    /// The backend server responded that the request was not run.
    #[display("refused with status {status}")]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
    /// The connection was closed before the response was complete.
    #[display("connection closed before the response was complete")]
    ConnectionLost,
    /// The source of the request body failed, or its length differs from the announced one.
    #[display("reading the request body failed: {kind}")]
    BodySource {
        /// The error of the source.
        kind: io::ErrorKind,
    },
    /// The response has no length and is not chunked, so its end can't be distinguished from a lost
    /// connection.
    #[display("response has neither a content length nor chunked encoding")]
    UnframedResponse,
    /// The response or a line of a feed exceeds its limit.
    #[display("response exceeds the limit of {limit_bytes} bytes")]
    ResponseTooLong {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The response is malformed or contradicts itself.
    #[display("malformed response")]
    MalformedResponse,
    /// A feed skipped or repeated readings.
    #[display("expected reading {expected}, received reading {found}")]
    SequenceGap {
        /// The expected sequence number.
        expected: u64,
        /// The received sequence number.
        found: u64,
    },
}

impl From<&hyper::Error> for FailureCause {
    /// Classifies an error of the HTTP library as a malformed response or a lost connection.
    fn from(error: &hyper::Error) -> Self {
        if error.is_parse() {
            Self::MalformedResponse
        } else {
            Self::ConnectionLost
        }
    }
}
