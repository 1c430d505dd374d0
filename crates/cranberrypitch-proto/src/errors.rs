//! The error type of the crate.

use derive_more::{Display, Error};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can fail while a message is encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The datagram is shorter than the tunnel header.
    #[display("datagram of {len_bytes} bytes is shorter than the tunnel header")]
    Truncated {
        /// The length found.
        len_bytes: usize,
    },
    /// The datagram is no tunnel datagram.
    #[display("no tunnel datagram")]
    UnknownFormat,
    /// The kind of the tunnel datagram is not known.
    #[display("tunnel datagram kind {kind} is not known")]
    UnknownKind {
        /// The kind found.
        kind: u8,
    },
    /// The check value does not verify.
    #[display("{_0}")]
    Authentication(#[error(source)] cranberrypitch_core::Error),
    /// The message is longer than its limit.
    #[display("message of {len_bytes} bytes is over the limit of {limit_bytes}")]
    TooLong {
        /// The length found.
        len_bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// The message is not the CBOR of the expected type.
    #[display("malformed {kind}: {detail}")]
    Malformed {
        /// The expected type.
        kind: &'static str,
        /// What the decoder found.
        detail: Box<str>,
    },
}

impl Error {
    /// Returns a malformed-message error.
    pub fn malformed(kind: &'static str, detail: &impl ToString) -> Self {
        Self::Malformed {
            kind,
            detail: detail.to_string().into(),
        }
    }
}
