//! UDP sockets of the daemons.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};

use cranberrypitch_net::udp::bind_nonblocking;
use tokio::net::UdpSocket;

use crate::errors::{Error, Result};

/// The longest datagram: a packet of 1,200 bytes with its head and that of a message.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2048;

/// Datagrams that are read before other work gets a turn.
pub(crate) const BATCH: usize = 64;

/// Binds a socket.
pub(crate) fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let bound = bind_nonblocking(address).and_then(UdpSocket::from_std);
    bound.map_err(|source| Error::Bind { address, source })
}

/// Reads a datagram if one is there.
pub(crate) fn receive<'a>(
    socket: &UdpSocket,
    buffer: &'a mut [u8],
) -> Option<(&'a [u8], SocketAddrV4)> {
    loop {
        match socket.try_recv_from(buffer) {
            Ok((len, SocketAddr::V4(peer))) => return Some((&buffer[..len], peer)),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            // An earlier datagram could not be delivered, which its sender learns by other means.
            Err(error) => tracing::debug!(target: crate::log::TARGET, %error, "receive failed"),
        }
    }
}
