//! The error type of the crate.

use std::net::SocketAddrV4;

use cranberrypitch_core::{NotRunReason, ServiceName};
use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can fail at a caller.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// The local socket can't be opened or read.
    #[display("local socket: {_0}")]
    Socket(std::io::Error),
    /// TLS can't be set up.
    #[display("{_0}")]
    Net(cranberrypitch_net::Error),
    /// The connection attempt can't be started.
    #[display("can't connect to {service}: {source}")]
    #[from(ignore)]
    Connect {
        /// The service asked for.
        service: ServiceName,
        /// What the transport said.
        source: quinn::ConnectError,
    },
    /// The attempt got no answer in time.
    #[display("no answer from {service} at {address} within the deadline")]
    #[from(ignore)]
    ConnectTimeout {
        /// The service asked for.
        service: ServiceName,
        /// The address dialled.
        address: SocketAddrV4,
    },
    /// The connection ended.
    #[display("connection: {_0}")]
    Connection(quinn::ConnectionError),
    /// The request could not be sent as a whole.
    #[display("request could not be sent: {_0}")]
    Write(quinn::WriteError),
    /// The answer ended early.
    #[display("answer ended early: {_0}")]
    Read(quinn::ReadExactError),
    /// A message can't be encoded or decoded.
    #[display("{_0}")]
    Proto(cranberrypitch_proto::Error),
    /// The agent sent a frame that does not belong here.
    #[display("unexpected answer to {request}")]
    #[from(ignore)]
    UnexpectedFrame {
        /// What had been asked.
        request: &'static str,
    },
    /// The answer is longer than the caller takes.
    #[display("answer of {len_bytes} bytes is over the limit of {limit_bytes}")]
    #[from(ignore)]
    ResponseTooLong {
        /// The length that the agent stated.
        len_bytes: u64,
        /// The limit.
        limit_bytes: u64,
    },
    /// The far end received other bytes than were sent.
    #[display("the far end has SHA-256 {received}, the file has {sent}")]
    #[from(ignore)]
    HashMismatch {
        /// The hash of what was sent.
        sent: Box<str>,
        /// The hash that the far end computed.
        received: Box<str>,
    },
    /// A feed skipped or repeated a reading.
    #[display("feed continued with reading {received}, expected {expected}")]
    #[from(ignore)]
    FeedGap {
        /// The reading expected.
        expected: u64,
        /// The reading received.
        received: u64,
    },
    /// A text is no order ticket.
    #[display("not a ticket; the form is cp1.AGENT.INCARNATION.SERIAL.CHECK.TOKEN")]
    InvalidTicket,
    /// The request was not run.
    #[display("not run: {reason}")]
    #[from(ignore)]
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
}

impl Error {
    /// Returns an unexpected-frame error.
    pub(crate) const fn unexpected_frame(request: &'static str) -> Self {
        Self::UnexpectedFrame { request }
    }
}
