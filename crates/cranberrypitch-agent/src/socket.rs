//! The UDP socket of an agent, which decapsulates tunnel datagrams for QUIC and encapsulates the
//! packets that QUIC sends.

use std::fmt;
use std::io::{self, IoSliceMut};
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use cranberrypitch_core::{Clock, Incarnation, ServiceTag};
use cranberrypitch_net::KeyRing;
use cranberrypitch_proto::tunnel::{DatagramKind, HEADER_LEN_BYTES, Header};
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::caller_paths::CallerPaths;
use crate::refused_callers::RefusedCallers;
use crate::return_path::ReturnPath;

/// The receive buffer of one tunnel datagram, which is never longer than an Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1500;

/// The bit of the first byte of a QUIC packet that marks a long header.
const LONG_HEADER_BIT: u8 = 0x80;

/// A tunnel datagram for the control thread.
#[derive(Debug)]
pub(crate) struct ControlDatagram {
    pub(crate) from: SocketAddrV4,
    pub(crate) header: Header,
    pub(crate) payload: Vec<u8>,
}

/// The numbers of datagrams that the socket has dropped since its start, by reason.
#[derive(Debug, Default)]
pub struct DropCounters {
    invalid: AtomicU64,
    misdirected: AtomicU64,
    no_balancer: AtomicU64,
    queue_full: AtomicU64,
}

impl DropCounters {
    /// Returns the datagrams with an invalid format or authentication tag.
    pub fn invalid(&self) -> u64 {
        self.invalid.load(Ordering::Relaxed)
    }

    /// Returns the datagrams that were addressed to another service or incarnation.
    pub fn misdirected(&self) -> u64 {
        self.misdirected.load(Ordering::Relaxed)
    }

    /// Returns the datagrams to callers for which no balancer was available.
    pub fn no_balancer(&self) -> u64 {
        self.no_balancer.load(Ordering::Relaxed)
    }

    /// Returns the datagrams for which the queue of the control thread or the table of callers was
    /// full.
    pub fn queue_full(&self) -> u64 {
        self.queue_full.load(Ordering::Relaxed)
    }
}

/// The identity that the headers of received datagrams must match.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SocketIdentity {
    pub(crate) service: ServiceTag,
    pub(crate) incarnation: Incarnation,
}

/// The tunnel socket, which QUIC uses as its UDP socket.
pub(crate) struct TunnelSocket {
    udp_socket: UdpSocket,
    identity: SocketIdentity,
    keys: Arc<KeyRing>,
    clock: Arc<dyn Clock>,
    return_path: Arc<ReturnPath>,
    caller_paths: CallerPaths,
    refused_callers: Arc<RefusedCallers>,
    control_sender: mpsc::Sender<ControlDatagram>,
    drop_counters: Arc<DropCounters>,
    send_buffer: Mutex<Vec<u8>>,
}

/// The arguments of [`TunnelSocket::new`].
pub(crate) struct TunnelSocketParts {
    pub(crate) udp_socket: UdpSocket,
    pub(crate) identity: SocketIdentity,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) return_path: Arc<ReturnPath>,
    pub(crate) control_sender: mpsc::Sender<ControlDatagram>,
}

impl TunnelSocket {
    pub(crate) fn new(parts: TunnelSocketParts) -> Self {
        Self {
            refused_callers: Arc::new(RefusedCallers::new(Arc::clone(&parts.clock))),
            udp_socket: parts.udp_socket,
            identity: parts.identity,
            keys: parts.keys,
            clock: parts.clock,
            return_path: parts.return_path,
            caller_paths: CallerPaths::default(),
            control_sender: parts.control_sender,
            drop_counters: Arc::default(),
            send_buffer: Mutex::new(Vec::with_capacity(MAX_DATAGRAM_BYTES)),
        }
    }

    pub(crate) fn drop_counters(&self) -> Arc<DropCounters> {
        Arc::clone(&self.drop_counters)
    }

    pub(crate) fn refused_callers(&self) -> Arc<RefusedCallers> {
        Arc::clone(&self.refused_callers)
    }

    /// Handles one tunnel datagram. Returns its payload if that is a QUIC packet for this agent.
    fn receive_datagram<'a>(
        &self,
        from: SocketAddr,
        datagram: &'a [u8],
    ) -> Option<(RecvMeta, &'a [u8])> {
        let SocketAddr::V4(from) = from else {
            return None;
        };
        let Ok((header, payload)) = Header::decode(datagram, &self.keys.tunnel_keys()) else {
            self.drop_counters.invalid.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        match header.kind {
            DatagramKind::Forward => self.receive_forward(&header, payload),
            DatagramKind::RefuseFirstPacket => self.receive_refused(&header, payload),
            DatagramKind::Peer if header.service != self.identity.service => {
                self.drop_counters
                    .misdirected
                    .fetch_add(1, Ordering::Relaxed);
                None
            }
            DatagramKind::ReportAck | DatagramKind::Peer | DatagramKind::Goodbye => {
                let payload = payload.to_vec();
                // A full queue drops the datagram as a full socket buffer would.
                let queued = self.control_sender.try_send(ControlDatagram {
                    from,
                    header,
                    payload,
                });
                if queued.is_err() {
                    self.drop_counters
                        .queue_full
                        .fetch_add(1, Ordering::Relaxed);
                }
                None
            }
            DatagramKind::Return | DatagramKind::Report | DatagramKind::ForwardFirstPacket => {
                self.drop_counters.invalid.fetch_add(1, Ordering::Relaxed);
                None
            }
        }
    }

    fn receive_forward<'a>(
        &self,
        header: &Header,
        payload: &'a [u8],
    ) -> Option<(RecvMeta, &'a [u8])> {
        if !self.is_for_this_agent(header) {
            self.drop_counters
                .misdirected
                .fetch_add(1, Ordering::Relaxed);
            // QUIC responds to a short-header packet with an unknown connection ID by a stateless
            // reset, so the caller detects at once that its connection is lost. Any other packet
            // could open a connection and is dropped.
            let is_short = payload.first().is_some_and(|b| b & LONG_HEADER_BIT == 0);
            if !is_short {
                return None;
            }
        }
        if !self
            .caller_paths
            .record(header.caller, header.service_address, self.clock.now())
        {
            self.drop_counters
                .queue_full
                .fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let meta = RecvMeta {
            addr: SocketAddr::V4(header.caller),
            len: payload.len(),
            stride: payload.len(),
            ecn: None,
            dst_ip: Some(IpAddr::V4(*header.service_address.ip())),
        };
        Some((meta, payload))
    }

    /// Receives a first packet whose connection the agent must refuse.
    fn receive_refused<'a>(
        &self,
        header: &Header,
        payload: &'a [u8],
    ) -> Option<(RecvMeta, &'a [u8])> {
        if self.is_for_this_agent(header) && !self.refused_callers.record(header.caller) {
            self.drop_counters
                .queue_full
                .fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.receive_forward(header, payload)
    }

    fn is_for_this_agent(&self, header: &Header) -> bool {
        header.service == self.identity.service
            && header.incarnation_low == self.identity.incarnation.low_u16()
    }

    /// Sends a control message. Fails with `WouldBlock` if the socket buffer is full.
    pub(crate) fn send_control(
        &self,
        to: SocketAddrV4,
        kind: DatagramKind,
        payload: &[u8],
    ) -> io::Result<()> {
        let header = Header::without_caller(
            kind,
            self.identity.service,
            self.identity.incarnation.low_u16(),
        );
        let mut datagram = Vec::with_capacity(HEADER_LEN_BYTES + payload.len());
        header.encode(payload, &self.keys.tunnel_keys(), &mut datagram);
        self.udp_socket
            .try_send_to(&datagram, SocketAddr::V4(to))
            .map(|_| ())
    }

    fn return_header(&self, transmit: &Transmit<'_>) -> Option<Header> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return None;
        };
        let service_ip = match transmit.src_ip {
            Some(IpAddr::V4(ip)) => Some(ip),
            _ => None,
        };
        let service_address = self.caller_paths.service_address(caller, service_ip)?;
        Some(Header {
            kind: DatagramKind::Return,
            service: self.identity.service,
            service_address,
            caller,
            incarnation_low: self.identity.incarnation.low_u16(),
        })
    }
}

impl fmt::Debug for TunnelSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TunnelSocket")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for TunnelSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: self,
            writable: Mutex::new(None),
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let Some(header) = self.return_header(transmit) else {
            // The caller has been evicted from the table; its next packet adds it again.
            self.drop_counters
                .queue_full
                .fetch_add(1, Ordering::Relaxed);
            return Ok(());
        };
        let Some(balancer) = self.return_path.next_balancer() else {
            // QUIC retransmits once a balancer is known again.
            self.drop_counters
                .no_balancer
                .fetch_add(1, Ordering::Relaxed);
            return Ok(());
        };
        let mut datagram = self
            .send_buffer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        header.encode(transmit.contents, &self.keys.tunnel_keys(), &mut datagram);
        self.udp_socket
            .try_send_to(&datagram, SocketAddr::V4(balancer))
            .map(|_| ())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let mut count = 0;
        for (buf, meta) in bufs.iter_mut().zip(meta) {
            loop {
                let mut read = ReadBuf::new(&mut datagram);
                let from = match self.udp_socket.poll_recv_from(cx, &mut read) {
                    Poll::Pending if count > 0 => return Poll::Ready(Ok(count)),
                    other => ready!(other)?,
                };
                let Some((datagram_meta, payload)) = self.receive_datagram(from, read.filled())
                else {
                    continue;
                };
                let Some(destination) = buf.get_mut(..payload.len()) else {
                    continue;
                };
                destination.copy_from_slice(payload);
                *meta = datagram_meta;
                count += 1;
                break;
            }
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.udp_socket.local_addr()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

type WritableFuture = Pin<Box<dyn Future<Output = io::Result<()>> + Send>>;

/// Waits until the socket is writable. Each connection has its own poller, and thus its own waker.
struct WritePoller {
    socket: Arc<TunnelSocket>,
    writable: Mutex<Option<WritableFuture>>,
}

impl fmt::Debug for WritePoller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WritePoller").finish_non_exhaustive()
    }
}

impl UdpPoller for WritePoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut writable = self.writable.lock().unwrap_or_else(PoisonError::into_inner);
        let pending = writable.get_or_insert_with(|| {
            let socket = Arc::clone(&self.socket);
            Box::pin(async move { socket.udp_socket.writable().await })
        });
        let result = ready!(pending.as_mut().poll(cx));
        *writable = None;
        Poll::Ready(result)
    }
}
