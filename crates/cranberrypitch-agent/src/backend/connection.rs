//! Connections that count the bytes written to them, so that a request is known to be unsent.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::body::RequestBody;

/// Counts the bytes written to a connection, and can block all further writes.
///
/// The lock is held during each write, so the count is final once the gate is closed. Otherwise a
/// request could be reported as not run while the connection's task is about to write it.
#[derive(Debug, Default)]
pub(crate) struct WriteGate(Mutex<WriteGateState>);

#[derive(Debug, Default)]
struct WriteGateState {
    written_bytes: u64,
    is_closed: bool,
}

impl WriteGate {
    fn lock(&self) -> MutexGuard<'_, WriteGateState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes written so far.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.lock().written_bytes
    }

    /// Blocks all further writes and returns the number of bytes written.
    pub(crate) fn close(&self) -> u64 {
        let mut state = self.lock();
        state.is_closed = true;
        state.written_bytes
    }

    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.is_closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = write();
        if let Poll::Ready(Ok(len_bytes)) = &result {
            state.written_bytes += *len_bytes as u64;
        }
        result
    }
}

/// A TCP stream that writes through a [`WriteGate`].
#[derive(Debug)]
struct GatedStream {
    stream: TcpStream,
    gate: Arc<WriteGate>,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = self.get_mut();
        gate.write(|| Pin::new(stream).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = self.get_mut();
        gate.write(|| Pin::new(stream).poll_write_vectored(cx, bufs))
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

/// A connection to the backend server, which is closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) gate: Arc<WriteGate>,
    task: AbortHandle,
}

impl Connection {
    /// Connects to the backend server.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let gate = Arc::new(WriteGate::default());
        let stream = GatedStream {
            stream,
            gate: Arc::clone(&gate),
        };
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the backend server {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            gate,
            task: task.abort_handle(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.close();
        self.task.abort();
    }
}
