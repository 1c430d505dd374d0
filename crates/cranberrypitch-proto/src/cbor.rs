//! CBOR with a limit on size and depth.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{Error, Result};

/// Nesting deeper than this is refused; no message of ours comes near it.
const MAX_DEPTH: usize = 16;

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
    let mut rest = bytes;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|e| Error::malformed(kind, &e))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Error::malformed(kind, &"bytes after the end"))
    }
}
