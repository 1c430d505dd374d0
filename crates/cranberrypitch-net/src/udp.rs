//! UDP sockets with receive buffers sized for bursts.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};

use socket2::SockRef;

/// The receive buffer requested for a socket, which the operating system may cap. An agent spends
/// about 0.6 ms on a handshake. The default of 208 KB holds about 90 packets, which 32 concurrent
/// handshakes overflow, and a lost first packet delays its caller by one second.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Binds a non-blocking socket and enlarges its receive buffer.
pub fn bind_nonblocking(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}
