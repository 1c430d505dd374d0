//! TCP connections that can be closed by a reset.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that sends a TCP reset when it is dropped while its reset flag is set.
#[derive(Debug)]
pub(crate) struct ResettableStream {
    stream: TcpStream,
    resets_on_drop: Arc<AtomicBool>,
}

impl ResettableStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("stand-in backend server failed to set TCP_NODELAY: {error}");
        }
        Self {
            stream,
            resets_on_drop: Arc::default(),
        }
    }

    /// Returns the flag that turns the close of the connection into a reset.
    pub(crate) fn reset_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.resets_on_drop)
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.resets_on_drop.load(Ordering::Relaxed)
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!("stand-in backend server failed to reset a connection: {error}");
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
