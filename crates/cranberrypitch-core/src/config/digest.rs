//! Content digests, by which shards are identified.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{Error, Result};

/// The first 128 bits of the SHA-256 hash of some content, written as 32 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; Digest::LEN_BYTES]);

impl Digest {
    /// The length of a digest in bytes.
    pub const LEN_BYTES: usize = 16;

    /// Returns the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        let full = ring::digest::digest(&ring::digest::SHA256, content);
        let mut bytes = [0; Self::LEN_BYTES];
        bytes.copy_from_slice(&full.as_ref()[..Self::LEN_BYTES]);
        Self(bytes)
    }

    /// Wraps the bytes of a digest.
    pub const fn from_bytes(bytes: [u8; Self::LEN_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; Self::LEN_BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let has_digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        match u128::from_str_radix(text, 16) {
            Ok(value) if has_digits => Ok(Self(value.to_be_bytes())),
            _ => Err(Error::parse("digest", text, "32 hexadecimal digits")),
        }
    }
}
