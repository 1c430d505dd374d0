//! The error type of the crate.

use std::net::SocketAddrV4;

use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that stops an agent.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// The tunnel socket can't be bound.
    #[display("can't bind {address}: {source}")]
    #[from(ignore)]
    Bind {
        /// The address to bind.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The operating system can't create a thread, a runtime or a socket.
    #[display("{_0}")]
    System(std::io::Error),
    /// TLS, keys, the store or another part of `cranberrypitch-net` failed.
    #[display("{_0}")]
    Net(cranberrypitch_net::Error),
    /// A message can't be encoded or decoded.
    #[display("{_0}")]
    Proto(cranberrypitch_proto::Error),
    /// The options of admission or another part of `cranberrypitch-core` are invalid.
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
    pub(crate) const fn bind(address: SocketAddrV4, source: std::io::Error) -> Self {
        Self::Bind { address, source }
    }

    pub(crate) const fn unexpected_end(component: &'static str) -> Self {
        Self::UnexpectedEnd { component }
    }
}
