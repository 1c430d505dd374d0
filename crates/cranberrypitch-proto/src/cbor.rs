//! CBOR with limits on message length, nesting depth and declared lengths.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{Error, Result};

/// The maximum nesting depth. The messages of this crate are far less deep.
const MAX_DEPTH: usize = 16;

// Major types, and the additional information of an indefinite length (RFC 8949, section 3).
const MAJOR_BYTE_STRING: u8 = 2;
const MAJOR_TEXT_STRING: u8 = 3;
const MAJOR_ARRAY: u8 = 4;
const MAJOR_MAP: u8 = 5;
const INDEFINITE: u8 = 31;

/// Encodes a message. Errors name the message as `kind`.
pub(crate) fn encode<T: Serialize>(kind: &'static str, message: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|e| Error::malformed(kind, &e))?;
    Ok(bytes)
}

/// Decodes a message that must fill all of `bytes`. Errors name the message as `kind`.
///
/// # Errors
///
/// Returns [`Error::TooLong`] for a message over `limit_bytes`, otherwise [`Error::Malformed`].
pub(crate) fn decode<T: DeserializeOwned>(
    kind: &'static str,
    bytes: &[u8],
    limit_bytes: usize,
) -> Result<T> {
    if bytes.len() > limit_bytes {
        return Err(Error::TooLong {
            len_bytes: bytes.len(),
            limit_bytes,
        });
    }
    if !declared_lengths_fit(bytes) {
        return Err(Error::malformed(
            kind,
            &"a declared length exceeds the rest of the message",
        ));
    }
    let mut remaining = bytes;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut remaining, MAX_DEPTH)
        .map_err(|e| Error::malformed(kind, &e))?;
    if remaining.is_empty() {
        Ok(message)
    } else {
        Err(Error::malformed(kind, &"trailing bytes after the message"))
    }
}

/// Returns whether the declared length of every string, array and map fits into the bytes after its
/// head.
///
/// `serde` reserves up to 1 MiB for the declared length of a list before it reads the first item, so
/// without this check a message of 15 bytes could allocate that much.
fn declared_lengths_fit(mut bytes: &[u8]) -> bool {
    while let Some((&first, rest)) = bytes.split_first() {
        let (major, info) = (first >> 5, first & 0x1f);
        let Some((argument, rest)) = read_argument(info, rest) else {
            return false;
        };
        let (skipped_bytes, min_len_bytes) = match major {
            MAJOR_BYTE_STRING | MAJOR_TEXT_STRING => (argument, argument),
            MAJOR_ARRAY => (0, argument),
            MAJOR_MAP => (0, argument.saturating_mul(2)),
            _ => (0, 0),
        };
        if min_len_bytes > rest.len() {
            return false;
        }
        bytes = &rest[skipped_bytes..];
    }
    true
}

/// Reads the argument of an item's head (RFC 8949, section 3). Returns it with the bytes after the
/// head, or `None` for a truncated or reserved head. An indefinite length counts as 0.
fn read_argument(info: u8, rest: &[u8]) -> Option<(usize, &[u8])> {
    let len_bytes = match info {
        0..=23 => return Some((usize::from(info), rest)),
        24..=27 => 1 << (info - 24),
        INDEFINITE => return Some((0, rest)),
        _ => return None,
    };
    let (argument, rest) = rest.split_at_checked(len_bytes)?;
    let argument = argument
        .iter()
        .fold(0_u64, |value, byte| (value << 8) | u64::from(*byte));
    Some((usize::try_from(argument).unwrap_or(usize::MAX), rest))
}
