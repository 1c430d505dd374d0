//! Binary frames over a WebSocket connection, with limits on size and time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_proto::control::{MAX_MESSAGE_BYTES, TAG_LEN_BYTES};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::error::CapacityError;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as SocketError, Message as Frame};

use crate::errors::ControlErrorKind;

/// The longest frame: a message with its signature.
const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES + TAG_LEN_BYTES;

/// The library's default of 128 KiB per connection takes too much memory with many sessions.
const READ_BUFFER_BYTES: usize = 4 << 10;

type ControlResult<T> = std::result::Result<T, ControlErrorKind>;

/// One end of a WebSocket connection.
#[derive(Debug)]
pub(super) struct Channel {
    socket: WebSocketStream<TcpStream>,
    write_timeout: Duration,
}

impl Channel {
    /// Connects to a server.
    pub(super) async fn connect(peer: SocketAddr, write_timeout: Duration) -> ControlResult<Self> {
        let stream = TcpStream::connect(peer).await;
        let stream = stream.map_err(|e| ControlErrorKind::connection(&e))?;
        set_nodelay(&stream)?;
        let request = format!("ws://{peer}/control");
        let config = Some(socket_config());
        let opened =
            tokio_tungstenite::client_async_with_config(request.as_str(), stream, config).await;
        let (socket, _response) = opened.map_err(error_kind)?;
        Ok(Self {
            socket,
            write_timeout,
        })
    }

    /// Accepts the connection of a client.
    pub(super) async fn accept(stream: TcpStream, write_timeout: Duration) -> ControlResult<Self> {
        set_nodelay(&stream)?;
        let config = Some(socket_config());
        let socket = tokio_tungstenite::accept_async_with_config(stream, config).await;
        Ok(Self {
            socket: socket.map_err(error_kind)?,
            write_timeout,
        })
    }

    /// Sends a frame. Fails with [`ControlErrorKind::SlowPeer`] if that exceeds the write timeout.
    pub(super) async fn send(&mut self, frame: Vec<u8>) -> ControlResult<()> {
        let sent = self.socket.send(Frame::binary(frame));
        match timeout(self.write_timeout, sent).await {
            Ok(sent) => sent.map_err(error_kind),
            Err(_elapsed) => Err(ControlErrorKind::SlowPeer),
        }
    }

    /// Receives a frame. Cancel-safe: no frame is lost when the future is dropped.
    pub(super) async fn receive(&mut self) -> ControlResult<Bytes> {
        loop {
            match self.socket.next().await {
                Some(Ok(Frame::Binary(frame))) => return Ok(frame),
                Some(Ok(Frame::Ping(_) | Frame::Pong(_))) => {}
                Some(Ok(Frame::Close(_))) | None => return Err(ControlErrorKind::Closed),
                Some(Ok(_)) => {
                    let expected = "a binary frame";
                    return Err(ControlErrorKind::UnexpectedMessage { expected });
                }
                Some(Err(error)) => return Err(error_kind(error)),
            }
        }
    }

    /// Closes the connection without waiting for the peer's close frame.
    pub(super) async fn close(mut self) {
        // Dropping the socket closes the connection even if the close frame can't be sent.
        drop(timeout(self.write_timeout, self.socket.close(None)).await);
    }
}

fn set_nodelay(stream: &TcpStream) -> ControlResult<()> {
    let set = stream.set_nodelay(true);
    set.map_err(|e| ControlErrorKind::connection(&e))
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * MAX_FRAME_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn error_kind(error: SocketError) -> ControlErrorKind {
    match error {
        SocketError::ConnectionClosed | SocketError::AlreadyClosed => ControlErrorKind::Closed,
        SocketError::Capacity(CapacityError::MessageTooLong { size, max_size }) => {
            ControlErrorKind::InvalidMessage(cranberrypitch_proto::Error::TooLong {
                len_bytes: size,
                limit_bytes: max_size,
            })
        }
        error => ControlErrorKind::connection(&error),
    }
}
