//! Keys of the store.

use std::str::FromStr;

use derive_more::Display;
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::store::errors::{Error, Result};

const MAX_KEY_BYTES: usize = 512;

/// The limit on the characters of an invalid key that an error shows.
const MAX_SHOWN_CHARS: usize = 80;

/// A key of the store, or a prefix of keys.
#[derive(
    Clone,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct StoreKey(Box<str>);

impl StoreKey {
    /// Checks a text and returns it as a key: 1 to 512 letters, digits, `-`, `_`, `.` or `/`. Fails
    /// with [`Error::InvalidKey`].
    pub fn try_new(text: &str) -> Result<Self> {
        let is_valid = |b: u8| b.is_ascii_alphanumeric() || b"-_./".contains(&b);
        if (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(is_valid) {
            return Ok(Self(text.into()));
        }
        Err(Error::InvalidKey {
            text: text.chars().take(MAX_SHOWN_CHARS).collect(),
        })
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for StoreKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Self::try_new(text)
    }
}
