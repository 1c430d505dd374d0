//! UDP sockets that take bursts.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};

use socket2::SockRef;

/// The receive buffer of a socket, which the system may cut to its own limit. An agent spends
/// about 0.6 ms on a handshake; the usual 208 KB hold about 90 packets, and 32 handshakes at the same
/// time overran them. A lost first packet costs a caller a second.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Opens a socket that doesn't block.
pub fn bind_nonblocking(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}
