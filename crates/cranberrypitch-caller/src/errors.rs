//! The error type of the crate.

use std::net::SocketAddrV4;

use cranberrypitch_core::{NotRunReason, ServiceName};
use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of a caller.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// A local socket can't be opened.
    #[display("local socket: {_0}")]
    Socket(std::io::Error),
    /// TLS can't be set up with the given certificates.
    #[display("{_0}")]
    Net(cranberrypitch_net::Error),
    /// The connection attempt can't be started.
    #[display("can't connect to {service}: {source}")]
    #[from(ignore)]
    Connect {
        /// The requested service.
        service: ServiceName,
        /// The error of the QUIC library.
        source: quinn::ConnectError,
    },
    /// The connection attempt got no response in time.
    #[display("no response from {service} at {address} within the connect timeout")]
    #[from(ignore)]
    ConnectTimeout {
        /// The requested service.
        service: ServiceName,
        /// The address of the connection attempt.
        address: SocketAddrV4,
    },
    /// The connection failed or was closed.
    #[display("connection failed: {_0}")]
    Connection(quinn::ConnectionError),
    /// The request could not be sent completely.
    #[display("can't send the request: {_0}")]
    Write(quinn::WriteError),
    /// The response was incomplete.
    #[display("incomplete response: {_0}")]
    Read(quinn::ReadExactError),
    /// A message can't be encoded or decoded.
    #[display("{_0}")]
    Proto(cranberrypitch_proto::Error),
    /// The agent sent a frame that is not valid at this point.
    #[display("unexpected frame in response to {request}")]
    #[from(ignore)]
    UnexpectedFrame {
        /// The kind of request.
        request: &'static str,
    },
    /// The response body is longer than the caller accepts.
    #[display("response of {len_bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    #[from(ignore)]
    ResponseTooLong {
        /// The length in bytes that the agent announced.
        len_bytes: u64,
        /// The limit in bytes.
        limit_bytes: u64,
    },
    /// The backend server received different bytes than were sent.
    #[display("SHA-256 mismatch: sent {sent}, backend server received {received}")]
    #[from(ignore)]
    HashMismatch {
        /// The SHA-256 of the sent bytes, in hexadecimal digits.
        sent: Box<str>,
        /// The SHA-256 that the backend server computed.
        received: Box<str>,
    },
    /// A feed skipped or repeated a reading.
    #[display("gap in feed: expected reading {expected}, received reading {received}")]
    #[from(ignore)]
    FeedGap {
        /// The expected sequence number.
        expected: u64,
        /// The received sequence number.
        received: u64,
    },
    /// A text is not an order ticket.
    #[display("not a ticket; the form is cp1.AGENT.INCARNATION.SERIAL.CHECK.TOKEN")]
    InvalidTicket,
    /// The request was not run.
    #[display("not run: {reason}")]
    #[from(ignore)]
    NotRun {
        /// The reason that the agent stated.
        reason: NotRunReason,
    },
}

impl Error {
    pub(crate) const fn unexpected_frame(request: &'static str) -> Self {
        Self::UnexpectedFrame { request }
    }
}
