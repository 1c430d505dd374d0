//! The error type of the crate. Its fields hold names and numbers as plain values, as the types of ids report
//! their own errors by it.

use std::fmt::Display;

use derive_more::Error;

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of this crate.
#[derive(Clone, Debug, derive_more::Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A text is not a valid value of the requested type.
    #[display("'{text}' is not a valid {kind}: {rule}")]
    Parse {
        /// The requested type.
        kind: &'static str,
        /// The rejected text, shortened to 80 characters.
        text: Box<str>,
        /// The form of a valid text.
        rule: &'static str,
    },
    /// A connection id does not have the length of a routing token.
    #[display("connection id has {len_bytes} bytes; a routing token has 20")]
    TokenLength {
        /// The length of the connection id.
        len_bytes: usize,
    },
    /// There is no key for the generation in a connection id.
    #[display("no key with generation {generation}")]
    UnknownKeyGeneration {
        /// The generation in the connection id.
        generation: u8,
    },
    /// The check value does not match the content.
    #[display("check value does not match the content")]
    CheckMismatch,
    /// A shard, head or text can't be decoded from or encoded to JSON.
    #[display("malformed {kind}: {detail}")]
    Malformed {
        /// The expected type.
        kind: &'static str,
        /// The error of the decoder or encoder.
        detail: Box<str>,
    },
    /// The digest of some content differs from the digest in the head or update.
    #[display("content has the digest {found}; expected {expected}")]
    DigestMismatch {
        /// The digest in the head or update.
        expected: Box<str>,
        /// The digest of the content.
        found: Box<str>,
    },
    /// The number of shards is not allowed, or differs from that of the head.
    #[display("invalid number of shards {count}; allowed are powers of two up to 32768")]
    InvalidShardCount {
        /// The number of shards.
        count: usize,
    },
    /// A shard contains a service whose tag belongs to another shard.
    #[display("service {service} does not belong to shard {index}")]
    WrongShard {
        /// The name of the service.
        service: Box<str>,
        /// The index of the shard that contains the service.
        index: usize,
    },
    /// A shard exceeds the maximum length.
    #[display("shard of {len_bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    ShardTooLong {
        /// The length of the shard.
        len_bytes: usize,
        /// The maximum length.
        limit_bytes: usize,
    },
    /// Two heads of different edits have the same revision. The compare-and-swap of the store
    /// normally prevents this.
    #[display("revision {revision} belongs to two different edits")]
    RevisionConflict {
        /// The revision.
        revision: u64,
    },
    /// A delta does not start at the revision in force.
    #[display("delta starts at revision {base}, but revision {in_force} is in force")]
    DeltaBaseMismatch {
        /// The revision at which the delta starts.
        base: u64,
        /// The revision in force, or 0 if there is none.
        in_force: u64,
    },
    /// The format version is unknown.
    #[display("unknown format version {version}")]
    UnknownVersion {
        /// The version in the token.
        version: u8,
    },
    /// A setting is out of its range.
    #[display("{setting} is out of range: {rule}")]
    SettingOutOfRange {
        /// The name of the setting.
        setting: &'static str,
        /// The allowed range.
        rule: &'static str,
    },
}

impl Error {
    /// Returns an [`Error::Parse`] with `text` shortened to fit into a log line.
    pub fn parse(kind: &'static str, text: &str, rule: &'static str) -> Self {
        const MAX_TEXT_CHARS: usize = 80;
        Self::Parse {
            kind,
            text: text.chars().take(MAX_TEXT_CHARS).collect(),
            rule,
        }
    }

    /// Returns an [`Error::SettingOutOfRange`].
    pub const fn setting(setting: &'static str, rule: &'static str) -> Self {
        Self::SettingOutOfRange { setting, rule }
    }

    /// Returns an [`Error::DigestMismatch`] of two digests.
    pub fn digest_mismatch(expected: impl Display, found: impl Display) -> Self {
        Self::DigestMismatch {
            expected: expected.to_string().into(),
            found: found.to_string().into(),
        }
    }

    /// Returns an [`Error::Malformed`] with the text of `detail`.
    pub fn malformed(kind: &'static str, detail: &impl ToString) -> Self {
        Self::Malformed {
            kind,
            detail: detail.to_string().into(),
        }
    }
}
