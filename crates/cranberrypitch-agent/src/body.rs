//! Upload bodies, read from the caller's stream at the pace of the backend server.

use std::io;

use bytes::Bytes;
use cranberrypitch_core::ByteSize;
use quinn::RecvStream;

use crate::backend::BodySource;

const MAX_CHUNK_BYTES: u64 = 64 * 1024;

/// A body of known length that is received on a QUIC stream.
#[derive(Debug)]
pub(crate) struct StreamBody {
    recv: RecvStream,
    remaining_bytes: u64,
}

impl StreamBody {
    pub(crate) const fn new(recv: RecvStream, len: ByteSize) -> Self {
        Self {
            recv,
            remaining_bytes: len.get(),
        }
    }
}

impl BodySource for StreamBody {
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        if self.remaining_bytes == 0 {
            return Ok(None);
        }
        let max_len = self.remaining_bytes.min(MAX_CHUNK_BYTES);
        let max_len = usize::try_from(max_len).unwrap_or(usize::MAX);
        let chunk = self
            .recv
            .read_chunk(max_len, true)
            .await
            .map_err(io::Error::other)?;
        let Some(chunk) = chunk else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        self.remaining_bytes -= chunk.bytes.len() as u64;
        Ok(Some(chunk.bytes))
    }
}
