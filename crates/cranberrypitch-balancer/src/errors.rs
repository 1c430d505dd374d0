//! The error type of the crate and the reasons for which datagrams are dropped.

use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can stop a balancer.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// A socket can't be opened.
    #[display("can't bind {address}: {source}")]
    #[from(ignore)]
    Bind {
        /// The address asked for.
        address: std::net::SocketAddrV4,
        /// What the system said.
        source: std::io::Error,
    },
    /// The system refuses a thread, a runtime or a clone of a socket.
    #[display("{_0}")]
    System(std::io::Error),
    /// The shared runtime failed.
    #[display("{_0}")]
    Net(cranberrypitch_net::Error),
    /// A thread or actor of the daemon has ended before it was told to.
    #[display("{part} has ended unexpectedly")]
    #[from(ignore)]
    Ended {
        /// The part that ended.
        part: &'static str,
    },
}

impl Error {
    /// Returns a bind error.
    pub(crate) const fn bind(address: std::net::SocketAddrV4, source: std::io::Error) -> Self {
        Self::Bind { address, source }
    }

    /// Returns the error for a part that has ended.
    pub(crate) const fn ended(part: &'static str) -> Self {
        Self::Ended { part }
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum DropReason {
    /// It is no QUIC packet.
    #[display("malformed packet")]
    Malformed,
    /// Its QUIC version is not 1.
    #[display("unknown QUIC version")]
    UnknownVersion,
    /// Its connection id is no routing token of ours.
    #[display("invalid routing token")]
    InvalidToken,
    /// It opens a flow and is shorter than QUIC asks for.
    #[display("first packet too short")]
    ShortInitial,
    /// The address has no service in the configuration in force.
    #[display("address without service")]
    NoService,
    /// The service has no target that may take a flow.
    #[display("no target")]
    NoTarget,
    /// A tunnel datagram does not verify or is of an unexpected kind.
    #[display("invalid tunnel datagram")]
    InvalidTunnel,
    /// A return names a service address that this balancer does not serve.
    #[display("return from an unknown service address")]
    UnknownServiceAddress,
    /// The socket would not take it.
    #[display("socket buffer full")]
    SendFailed,
}
