//! The error type of the crate.

use derive_more::{Display, Error};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can fail in the decisions and their types.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A text is no valid value of the named type.
    #[display("'{text}' is no valid {kind}: {rule}")]
    Parse {
        /// The type that was asked for.
        kind: &'static str,
        /// The rejected text.
        text: Box<str>,
        /// What a valid text looks like.
        rule: &'static str,
    },
    /// A connection id does not have the length of a routing token.
    #[display("connection id has {len_bytes} bytes, a routing token has 20")]
    TokenLength {
        /// The length found.
        len_bytes: usize,
    },
    /// A connection id names a key generation that is not held.
    #[display("no key of generation {generation}")]
    UnknownKeyGeneration {
        /// The generation found.
        generation: u8,
    },
    /// The check value does not match the content.
    #[display("check value does not match")]
    CheckMismatch,
    /// The format version is not known.
    #[display("format version {version} is not known")]
    UnknownVersion {
        /// The version found.
        version: u8,
    },
    /// A setting is out of its range.
    #[display("{setting} is out of range: {rule}")]
    Setting {
        /// The setting.
        setting: &'static str,
        /// The allowed range.
        rule: &'static str,
    },
}

impl Error {
    /// Returns a parse error for `text`, cut to a length that fits a log line.
    pub fn parse(kind: &'static str, text: &str, rule: &'static str) -> Self {
        const MAX_TEXT_CHARS: usize = 80;
        Self::Parse {
            kind,
            text: text.chars().take(MAX_TEXT_CHARS).collect(),
            rule,
        }
    }

    /// Returns an error for a setting that is out of its range.
    pub const fn setting(setting: &'static str, rule: &'static str) -> Self {
        Self::Setting { setting, rule }
    }
}
