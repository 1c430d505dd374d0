//! The error type of the crate.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can fail when a stand-in starts.
#[derive(Debug, Display, Error)]
#[non_exhaustive]
pub enum Error {
    /// An address can't be listened on.
    #[display("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// An option is out of range.
    #[display("option {option} must be {rule}")]
    Option {
        /// The option.
        option: &'static str,
        /// The allowed range.
        rule: &'static str,
    },
}

impl Error {
    /// Returns an error for an address that can't be listened on.
    pub fn listen(address: impl Into<SocketAddr>, source: io::Error) -> Self {
        Self::Listen {
            address: address.into(),
            source,
        }
    }

    /// Returns an error for an option that is out of range.
    pub const fn option(option: &'static str, rule: &'static str) -> Self {
        Self::Option { option, rule }
    }
}
