//! Failures of requests to the backend server.

use std::io;

use bytes::Bytes;
use derive_more::{Display, Error};

/// A result of a request to the backend server.
pub type Result<T> = std::result::Result<T, BackendError>;

/// How a request to the backend server failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BackendError {
    /// The request was not run: no byte of it was written to the backend server, or the backend
    /// server answered that it was not run.
    #[display("not run: {cause}")]
    NotRun {
        /// What prevented it.
        #[error(source)]
        cause: FailureCause,
    },
    /// The backend server answered with an error, and its answer arrived whole.
    #[display("backend server answered with status {status}")]
    Failed {
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        body: Bytes,
    },
    /// Bytes of the request were written and no whole answer came, so it may have run.
    #[display("outcome unknown: {cause}")]
    OutcomeUnknown {
        /// What happened to the answer.
        #[error(source)]
        cause: FailureCause,
    },
}

impl BackendError {
    /// Returns whether the request certainly was not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Returns whether it can't be told if the request was run.
    pub const fn is_outcome_unknown(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { .. })
    }
}

/// What went wrong on the way to the backend server or back.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum FailureCause {
    /// No connection was established.
    #[display("no connection: {kind}")]
    ConnectFailed {
        /// The failure of the connection attempt.
        kind: io::ErrorKind,
    },
    /// The time ran out.
    #[display("deadline passed")]
    DeadlineExceeded,
    /// The backend server answered that the request was not run.
    #[display("refused with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The connection ended before the answer was complete.
    #[display("connection ended early")]
    ConnectionLost,
    /// The source of the request body failed or had another length than announced.
    #[display("request body broke off: {kind}")]
    BodySource {
        /// The failure of the source.
        kind: io::ErrorKind,
    },
    /// The answer states no length and is not chunked, so its end can't be told from a cut.
    #[display("answer without a length")]
    UnframedResponse,
    /// The answer or a line of a feed is over its limit.
    #[display("answer is over the limit of {limit_bytes} bytes")]
    ResponseTooLong {
        /// The limit.
        limit_bytes: usize,
    },
    /// The answer contradicts itself or is not of the expected form.
    #[display("malformed answer")]
    MalformedResponse,
    /// A feed skipped or repeated readings.
    #[display("reading {found} came in place of {expected}")]
    SequenceGap {
        /// The reading that was due.
        expected: u64,
        /// The reading that came.
        found: u64,
    },
}

impl From<&hyper::Error> for FailureCause {
    /// Returns what a failure of the HTTP library says about the answer.
    fn from(error: &hyper::Error) -> Self {
        if error.is_parse() {
            Self::MalformedResponse
        } else {
            Self::ConnectionLost
        }
    }
}
