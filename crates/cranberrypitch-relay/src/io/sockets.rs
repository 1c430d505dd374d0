//! UDP sockets of the daemons.

use std::io::{self, Read};
use std::net::{SocketAddr, SocketAddrV4};

use cranberrypitch_net::udp::bind_nonblocking;
use socket2::SockRef;
use tokio::net::UdpSocket;

use crate::errors::{Error, Result};

/// The size of a receive buffer. The longest datagram carries a packet of 1,200 bytes, its header
/// and the header of a relay message.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2048;

/// The maximum number of datagrams read from a socket before other work is polled.
pub(crate) const MAX_BATCH_DATAGRAMS: usize = 64;

/// Binds a non-blocking UDP socket with an enlarged receive buffer.
pub(crate) fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let bound = bind_nonblocking(address).and_then(UdpSocket::from_std);
    bound.map_err(|source| Error::Bind { address, source })
}

/// Returns the next datagram and its sender, or `None` if the socket has none.
pub(crate) fn receive<'a>(
    socket: &UdpSocket,
    buffer: &'a mut [u8],
) -> Option<(&'a [u8], SocketAddrV4)> {
    loop {
        match socket.try_recv_from(buffer) {
            Ok((len, SocketAddr::V4(peer))) => return Some((&buffer[..len], peer)),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) => log_receive_error(&error),
        }
    }
}

/// Returns the next datagram, or `None` if the socket has none. Unlike [`receive`], it asks the operating system each
/// time: the runtime only knows of datagrams up to its last poll, and not of those that arrived while the process
/// stood still.
pub(crate) fn receive_unpolled<'a>(socket: &UdpSocket, buffer: &'a mut [u8]) -> Option<&'a [u8]> {
    let socket = SockRef::from(socket);
    loop {
        match (&*socket).read(buffer) {
            Ok(len) => return Some(&buffer[..len]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) => log_receive_error(&error),
        }
    }
}

// The kernel reports here that an earlier datagram could not be delivered. The sender of that datagram detects the
// loss by a timeout.
fn log_receive_error(error: &io::Error) {
    tracing::debug!(target: crate::log::TARGET, %error, "receive from UDP socket failed");
}

/// Logs a failed wait for a readable socket. The event loop reads the socket nevertheless and goes
/// on.
pub(crate) fn log_unreadable(result: std::io::Result<()>) {
    if let Err(error) = result {
        tracing::warn!(target: crate::log::TARGET, %error, "wait for a readable socket failed");
    }
}
