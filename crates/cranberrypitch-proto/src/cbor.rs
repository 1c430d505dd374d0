//! CBOR with a limit on size, depth and declared lengths.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{Error, Result};

/// Nesting deeper than this is refused; no message of ours comes near it.
const MAX_DEPTH: usize = 16;

// Major types and the indefinite length of an item's head.
const MAJOR_BYTES: u8 = 2;
const MAJOR_TEXT: u8 = 3;
const MAJOR_ARRAY: u8 = 4;
const MAJOR_MAP: u8 = 5;
const INDEFINITE: u8 = 31;

/// Encodes a message.
pub(crate) fn encode<T: Serialize>(kind: &'static str, message: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|e| Error::malformed(kind, &e))?;
    Ok(bytes)
}

/// Decodes a message that must take up all of `bytes`.
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
    if !lengths_fit(bytes) {
        return Err(Error::malformed(
            kind,
            &"a declared length exceeds the message",
        ));
    }
    let mut rest = bytes;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|e| Error::malformed(kind, &e))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Error::malformed(kind, &"bytes after the end"))
    }
}

/// Returns whether every string, array and map has room in the bytes that follow its head.
///
/// `serde` reserves up to 1 MiB for the declared length of a list before it reads the first item,
/// so a message of 15 bytes could take that much.
fn lengths_fit(mut bytes: &[u8]) -> bool {
    while let Some((&first, rest)) = bytes.split_first() {
        let (major, info) = (first >> 5, first & 0x1f);
        let Some((argument, rest)) = read_argument(info, rest) else {
            return false;
        };
        let (skipped, min_len) = match major {
            MAJOR_BYTES | MAJOR_TEXT => (argument, argument),
            MAJOR_ARRAY => (0, argument),
            MAJOR_MAP => (0, argument.saturating_mul(2)),
            _ => (0, 0),
        };
        if min_len > rest.len() {
            return false;
        }
        bytes = &rest[skipped..];
    }
    true
}

/// Reads the argument of an item's head (RFC 8949, section 3). An indefinite length counts as 0.
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
