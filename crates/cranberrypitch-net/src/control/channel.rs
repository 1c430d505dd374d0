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

/// The library's default of 128 KiB per connection would take too much memory for many sessions.
const READ_BUFFER_BYTES: usize = 4 << 10;

type Outcome<T> = std::result::Result<T, ControlErrorKind>;

/// One end of a WebSocket connection.
#[derive(Debug)]
pub(super) struct Channel {
    socket: WebSocketStream<TcpStream>,
    write_timeout: Duration,
}

impl Channel {
    /// Opens the client's end.
    pub(super) async fn connect(peer: SocketAddr, write_timeout: Duration) -> Outcome<Self> {
        let stream = TcpStream::connect(peer).await;
        let stream = stream.map_err(|e| ControlErrorKind::connection(&e))?;
        set_nodelay(&stream)?;
        let request = format!("ws://{peer}/control");
        let config = Some(socket_config());
        let opened =
            tokio_tungstenite::client_async_with_config(request.as_str(), stream, config).await;
        let (socket, _response) = opened.map_err(fault)?;
        Ok(Self {
            socket,
            write_timeout,
        })
    }

    /// Opens the server's end.
    pub(super) async fn accept(stream: TcpStream, write_timeout: Duration) -> Outcome<Self> {
        set_nodelay(&stream)?;
        let config = Some(socket_config());
        let socket = tokio_tungstenite::accept_async_with_config(stream, config).await;
        Ok(Self {
            socket: socket.map_err(fault)?,
            write_timeout,
        })
    }

    /// Sends a frame. A peer that does not take it in time counts as slow.
    pub(super) async fn send(&mut self, frame: Vec<u8>) -> Outcome<()> {
        let sent = self.socket.send(Frame::binary(frame));
        match timeout(self.write_timeout, sent).await {
            Ok(sent) => sent.map_err(fault),
            Err(_elapsed) => Err(ControlErrorKind::SlowPeer),
        }
    }

    /// Receives a frame. Nothing is lost when the future is dropped.
    pub(super) async fn receive(&mut self) -> Outcome<Bytes> {
        loop {
            match self.socket.next().await {
                Some(Ok(Frame::Binary(frame))) => return Ok(frame),
                Some(Ok(Frame::Ping(_) | Frame::Pong(_))) => {}
                Some(Ok(Frame::Close(_))) | None => return Err(ControlErrorKind::Closed),
                Some(Ok(_)) => {
                    let expected = "a binary frame";
                    return Err(ControlErrorKind::UnexpectedMessage { expected });
                }
                Some(Err(error)) => return Err(fault(error)),
            }
        }
    }

    /// Closes the connection, without waiting for the other end's consent.
    pub(super) async fn close(mut self) {
        // The connection ends with this value, whether the other end learns of it or not.
        drop(timeout(self.write_timeout, self.socket.close(None)).await);
    }
}

fn set_nodelay(stream: &TcpStream) -> Outcome<()> {
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

fn fault(error: SocketError) -> ControlErrorKind {
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
