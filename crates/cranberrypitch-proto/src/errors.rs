//! The error type of the crate.

use derive_more::{Display, Error};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of encoding or decoding a message.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The datagram is shorter than its header.
    #[display("datagram of {len_bytes} bytes is shorter than its header")]
    Truncated {
        /// The length of the datagram or message.
        len_bytes: usize,
    },
    /// The datagram does not start with the magic number and format version of its protocol.
    #[display("unknown magic number or format version of a datagram")]
    UnknownFormat,
    /// The kind of the datagram is unknown.
    #[display("unknown datagram kind {kind}")]
    UnknownKind {
        /// The kind in the header.
        kind: u8,
    },
    /// The check value of the datagram does not verify, or its key generation is unknown.
    #[display("{_0}")]
    Authentication(#[error(source)] cranberrypitch_core::Error),
    /// The message is longer than its limit.
    #[display("message of {len_bytes} bytes is over the limit of {limit_bytes} bytes")]
    TooLong {
        /// The length of the datagram or message.
        len_bytes: usize,
        /// The maximum length.
        limit_bytes: usize,
    },
    /// The message does not have the expected form.
    #[display("malformed {kind}: {detail}")]
    Malformed {
        /// What the message should have been, for example "report".
        kind: &'static str,
        /// The error of the decoder.
        detail: Box<str>,
    },
}

impl Error {
    /// Returns an [`Error::Malformed`].
    pub fn malformed(kind: &'static str, detail: &impl ToString) -> Self {
        Self::Malformed {
            kind,
            detail: detail.to_string().into(),
        }
    }
}
