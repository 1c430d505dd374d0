//! The error type of the crate.

use std::net::SocketAddrV4;

use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can stop an agent.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// A socket can't be opened.
    #[display("can't bind {address}: {source}")]
    #[from(ignore)]
    Bind {
        /// The address asked for.
        address: SocketAddrV4,
        /// What the system said.
        source: std::io::Error,
    },
    /// The system refuses a thread, a runtime or a clone of a socket.
    #[display("{_0}")]
    System(std::io::Error),
    /// The shared runtime failed.
    #[display("{_0}")]
    Net(cranberrypitch_net::Error),
    /// A message can't be encoded or decoded.
    #[display("{_0}")]
    Proto(cranberrypitch_proto::Error),
    /// A decision was given invalid options.
    #[display("{_0}")]
    Core(cranberrypitch_core::Error),
    /// A thread or actor of the agent has ended without a stop request.
    #[display("{component} has ended unexpectedly")]
    #[from(ignore)]
    UnexpectedEnd {
        /// The thread or actor.
        component: &'static str,
    },
}

impl Error {
    /// Returns a bind error.
    pub(crate) const fn bind(address: SocketAddrV4, source: std::io::Error) -> Self {
        Self::Bind { address, source }
    }

    /// Returns the error for a thread or actor that has ended without a stop request.
    pub(crate) const fn unexpected_end(component: &'static str) -> Self {
        Self::UnexpectedEnd { component }
    }
}
