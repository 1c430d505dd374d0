//! The error type of the crate.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;

use derive_more::{Display, Error};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can fail in the daemons.
#[derive(Debug, Display, Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file can't be read.
    #[display("settings {}: {source}", file.display())]
    SettingsFile {
        /// The file.
        file: Box<Path>,
        /// What the operating system reported.
        source: io::Error,
    },
    /// A file can't be read.
    #[display("{}: {source}", file.display())]
    File {
        /// The file.
        file: Box<Path>,
        /// What the operating system reported.
        source: io::Error,
    },
    /// A daemon does not tell its status.
    #[display("no answer: {detail}")]
    StatusUnavailable {
        /// What happened instead.
        detail: Box<str>,
    },
    /// The settings are refused.
    #[display("settings: {detail}")]
    Settings {
        /// What is wrong.
        detail: Box<str>,
    },
    /// An address can't be bound.
    #[display("address {address} can't be bound: {source}")]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// What the operating system reported.
        source: io::Error,
    },
    /// Bytes from outside are not of the expected form.
    #[display("malformed {kind}: {detail}")]
    Malformed {
        /// The expected type.
        kind: &'static str,
        /// What the decoder found.
        detail: Box<str>,
    },
    /// A key of the store is refused.
    #[display("{_0}")]
    Store(#[error(source)] cranberrypitch_net::store::Error),
}

impl Error {
    /// Returns an error of refused settings.
    pub fn settings(detail: &impl ToString) -> Self {
        Self::Settings {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error of a daemon that does not tell its status.
    pub fn status_unavailable(detail: &impl ToString) -> Self {
        Self::StatusUnavailable {
            detail: detail.to_string().into(),
        }
    }

    /// Returns a malformed-content error.
    pub fn malformed(kind: &'static str, detail: &impl ToString) -> Self {
        Self::Malformed {
            kind,
            detail: detail.to_string().into(),
        }
    }
}
