//! The error type of the crate.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

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
    /// A settings file can't be read or has a field that is wrong.
    #[display("{file}: {detail}")]
    Settings {
        /// The file.
        file: Box<str>,
        /// What is wrong, with the field or the place in the file.
        detail: Box<str>,
    },
    /// A certificate can't be made.
    #[display("can't make a certificate: {detail}")]
    Certificate {
        /// The failure.
        detail: Box<str>,
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

    /// Returns an error for a settings file.
    pub fn settings(file: &Path, detail: &impl ToString) -> Self {
        Self::Settings {
            file: file.display().to_string().into(),
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error for a certificate that can't be made.
    pub fn certificate(detail: &impl ToString) -> Self {
        Self::Certificate {
            detail: detail.to_string().into(),
        }
    }
}
