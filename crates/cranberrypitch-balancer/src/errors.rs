//! The error type of the crate.

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
    #[display("{component} has ended unexpectedly")]
    #[from(ignore)]
    ComponentEnded {
        /// The thread or actor that ended.
        component: &'static str,
    },
}

impl Error {
    /// Returns a bind error.
    pub(crate) const fn bind(address: std::net::SocketAddrV4, source: std::io::Error) -> Self {
        Self::Bind { address, source }
    }

    /// Returns the error for a part that has ended.
    pub(crate) const fn component_ended(component: &'static str) -> Self {
        Self::ComponentEnded { component }
    }
}
