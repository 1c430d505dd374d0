//! The error type of the crate.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;

use derive_more::{Display, Error};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the daemons or of the commands that inspect them.
#[derive(Debug, Display, Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file can't be read.
    #[display("settings {}: {source}", file.display())]
    SettingsFile {
        /// The file.
        file: Box<Path>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file can't be read.
    #[display("{}: {source}", file.display())]
    File {
        /// The file.
        file: Box<Path>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The status of a daemon could not be fetched.
    #[display("no answer: {detail}")]
    StatusUnavailable {
        /// The error of the HTTP exchange, or the unexpected status.
        detail: Box<str>,
    },
    /// The settings are invalid, or the daemon could not set up its runtime.
    #[display("settings: {detail}")]
    Settings {
        /// The invalid field, or the error.
        detail: Box<str>,
    },
    /// An address can't be bound.
    #[display("address {address} can't be bound: {source}")]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Received bytes do not have the expected form.
    #[display("malformed {kind}: {detail}")]
    Malformed {
        /// What the bytes should have been, for example "packet".
        kind: &'static str,
        /// The error of the decoder.
        detail: Box<str>,
    },
    /// A store key is invalid.
    #[display("{_0}")]
    Store(#[error(source)] cranberrypitch_net::store::Error),
}

impl Error {
    /// Returns an [`Error::Settings`].
    pub fn settings(detail: &impl ToString) -> Self {
        Self::Settings {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an [`Error::StatusUnavailable`].
    pub fn status_unavailable(detail: &impl ToString) -> Self {
        Self::StatusUnavailable {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an [`Error::Malformed`].
    pub fn malformed(kind: &'static str, detail: &impl ToString) -> Self {
        Self::Malformed {
            kind,
            detail: detail.to_string().into(),
        }
    }
}
