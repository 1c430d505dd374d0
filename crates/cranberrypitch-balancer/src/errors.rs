//! The error type of the crate.

use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The errors of a balancer.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// A socket can't be bound.
    #[display("can't bind {address}: {source}")]
    #[from(ignore)]
    Bind {
        /// The local address.
        address: std::net::SocketAddrV4,
        /// The error that the operating system reported.
        source: std::io::Error,
    },
    /// The operating system failed to create a thread, a runtime or a clone of a socket.
    #[display("{_0}")]
    System(std::io::Error),
    /// An error of the shared runtime.
    #[display("{_0}")]
    Net(cranberrypitch_net::Error),
    /// A thread or actor of the balancer ended before its shutdown.
    #[display("{component} has ended unexpectedly")]
    #[from(ignore)]
    ComponentEnded {
        /// The thread or actor that ended.
        component: &'static str,
    },
}

impl Error {
    /// Returns an [`Error::Bind`].
    pub(crate) const fn bind(address: std::net::SocketAddrV4, source: std::io::Error) -> Self {
        Self::Bind { address, source }
    }

    /// Returns an [`Error::ComponentEnded`].
    pub(crate) const fn component_ended(component: &'static str) -> Self {
        Self::ComponentEnded { component }
    }
}
