//! Bodies of HTTP requests to the backend server.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cranberrypitch_core::ByteSize;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::BodySource;

/// The maximum number of chunks that are buffered between the source and the connection.
const MAX_BUFFERED_CHUNKS: usize = 2;

/// The body of a request, whose length is known when the request is sent.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// A body in memory; `None` once it is sent, or if it is empty.
    Buffered(Option<Bytes>),
    /// A body that is received in chunks.
    Streamed {
        /// The received chunks.
        chunks: mpsc::Receiver<Bytes>,
        /// The number of bytes that have not been received.
        remaining_bytes: u64,
    },
}

impl RequestBody {
    /// Returns a body of the given length and the sender of its chunks.
    pub(crate) fn streamed(len: ByteSize) -> (mpsc::Sender<Bytes>, Self) {
        let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let remaining_bytes = len.get();
        let body = Self::Streamed {
            chunks,
            remaining_bytes,
        };
        (sender, body)
    }
}

impl From<Bytes> for RequestBody {
    fn from(body: Bytes) -> Self {
        Self::Buffered((!body.is_empty()).then_some(body))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Buffered(body) => Poll::Ready(body.take().map(|data| Ok(Frame::data(data)))),
            Self::Streamed {
                remaining_bytes, ..
            } if *remaining_bytes == 0 => Poll::Ready(None),
            Self::Streamed {
                chunks,
                remaining_bytes,
            } => chunks
                .poll_recv(cx)
                .map(|chunk| Some(take_chunk(chunk, remaining_bytes))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_none(),
            Self::Streamed {
                remaining_bytes, ..
            } => *remaining_bytes == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(match self {
            Self::Buffered(body) => body.as_ref().map_or(0, |body| body.len() as u64),
            Self::Streamed {
                remaining_bytes, ..
            } => *remaining_bytes,
        })
    }
}

fn take_chunk(chunk: Option<Bytes>, remaining_bytes: &mut u64) -> io::Result<Frame<Bytes>> {
    let chunk = chunk.ok_or(io::ErrorKind::UnexpectedEof)?;
    *remaining_bytes = remaining_bytes
        .checked_sub(chunk.len() as u64)
        .ok_or(io::ErrorKind::InvalidData)?;
    Ok(Frame::data(chunk))
}

/// Sends the chunks of a source, and returns whether the connection accepted the whole body.
///
/// It is not an error here if the connection stops accepting chunks, because the response states
/// the reason.
pub(crate) async fn forward_body<S: BodySource>(
    mut source: S,
    chunks: mpsc::Sender<Bytes>,
    len: ByteSize,
) -> io::Result<bool> {
    let mut remaining_bytes = len.get();
    loop {
        let Some(chunk) = source.next_chunk().await? else {
            break;
        };
        remaining_bytes = remaining_bytes
            .checked_sub(chunk.len() as u64)
            .ok_or(io::ErrorKind::InvalidData)?;
        if !chunk.is_empty() && chunks.send(chunk).await.is_err() {
            return Ok(false);
        }
    }
    match remaining_bytes {
        0 => Ok(true),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}
