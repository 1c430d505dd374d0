//! Relay between callers and balancers, with one socket per caller.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::FastMap;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::link::{Datagram, LinkEmulator};
use super::options::FabricOptions;
use super::spray::{CopyDelays, Sprayer};

/// The maximum payload of a datagram: an MTU of 1,500 bytes without the IPv4 and UDP headers. The
/// platform drops longer datagrams, which loopback would transport.
const MAX_DATAGRAM_BYTES: usize = 1472;

/// A receive buffer. It has one byte more than the maximum payload, to detect longer datagrams.
type ReceiveBuffer = [u8; MAX_DATAGRAM_BYTES + 1];

/// Relays the datagrams of one service between callers and balancers.
#[derive(Debug)]
pub(crate) struct ServiceRelay {
    public_socket: Arc<UdpSocket>,
    balancer_port: u16,
    spray: Arc<Sprayer>,
    link: Arc<LinkEmulator>,
    callers: FastMap<SocketAddrV4, CallerSocket>,
    max_callers: usize,
    idle_timeout: Duration,
}

/// The socket of one caller towards the balancers. A drop stops its return relay.
#[derive(Debug)]
struct CallerSocket {
    socket: Arc<UdpSocket>,
    last_used: Arc<Mutex<Instant>>,
    return_task: AbortHandle,
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        self.return_task.abort();
    }
}

impl CallerSocket {
    fn last_used(&self) -> Instant {
        *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceRelay {
    pub(crate) fn new(
        options: &FabricOptions,
        public_socket: Arc<UdpSocket>,
        balancer_port: u16,
        spray: Arc<Sprayer>,
        link: Arc<LinkEmulator>,
    ) -> Self {
        Self {
            public_socket,
            balancer_port,
            spray,
            link,
            callers: FastMap::default(),
            max_callers: options.max_callers,
            idle_timeout: options.idle_timeout,
        }
    }

    /// Relays datagrams until it is dropped.
    pub(crate) async fn run(mut self) {
        let mut sweep_interval = interval(self.idle_timeout / 2);
        sweep_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer: ReceiveBuffer = [0; MAX_DATAGRAM_BYTES + 1];
        let public_socket = Arc::clone(&self.public_socket);
        loop {
            tokio::select! {
                _ = sweep_interval.tick() => self.evict_idle(),
                received = public_socket.recv_from(&mut buffer) => match received {
                    Ok((len_bytes, SocketAddr::V4(caller))) => {
                        self.relay(caller, &buffer[..len_bytes]).await;
                    }
                    Ok((_, SocketAddr::V6(_))) => {}
                    Err(error) => log::debug!("failed to receive from callers: {error}"),
                },
            }
        }
    }

    async fn relay(&mut self, caller: SocketAddrV4, payload: &[u8]) {
        if payload.len() > MAX_DATAGRAM_BYTES {
            self.spray.count_oversized();
            return;
        }
        let socket = match self.socket_for(caller).await {
            Ok(socket) => socket,
            Err(error) => {
                log::warn!("failed to open a socket for caller {caller}: {error}");
                return;
            }
        };
        let Some((balancer, delays)) = self.spray.draw_to_balancer() else {
            return;
        };
        let datagram = Datagram {
            socket,
            destination: SocketAddrV4::new(balancer, self.balancer_port),
            payload: Bytes::copy_from_slice(payload),
        };
        deliver(&self.link, delays, datagram).await;
    }

    async fn socket_for(&mut self, caller: SocketAddrV4) -> io::Result<Arc<UdpSocket>> {
        if let Some(entry) = self.callers.get(&caller) {
            touch(&entry.last_used);
            return Ok(Arc::clone(&entry.socket));
        }
        if self.callers.len() >= self.max_callers {
            self.evict_longest_idle();
        }
        let local_ip = self.public_socket.local_addr()?.ip();
        let socket = Arc::new(UdpSocket::bind((local_ip, 0)).await?);
        let last_used = Arc::new(Mutex::new(Instant::now()));
        let return_relay = ReturnRelay {
            socket: Arc::clone(&socket),
            public_socket: Arc::clone(&self.public_socket),
            caller,
            last_used: Arc::clone(&last_used),
            spray: Arc::clone(&self.spray),
            link: Arc::clone(&self.link),
        };
        let entry = CallerSocket {
            socket: Arc::clone(&socket),
            last_used,
            return_task: tokio::spawn(return_relay.run()).abort_handle(),
        };
        self.callers.insert(caller, entry);
        Ok(socket)
    }

    fn evict_idle(&mut self) {
        let now = Instant::now();
        let idle_timeout = self.idle_timeout;
        self.callers
            .retain(|_, entry| now < entry.last_used() + idle_timeout);
    }

    fn evict_longest_idle(&mut self) {
        let longest_idle = self
            .callers
            .iter()
            .min_by_key(|(_, entry)| entry.last_used())
            .map(|(caller, _)| *caller);
        if let Some(caller) = longest_idle {
            self.callers.remove(&caller);
        }
    }
}

/// Relays datagrams from the balancers to one caller.
#[derive(Debug)]
struct ReturnRelay {
    socket: Arc<UdpSocket>,
    public_socket: Arc<UdpSocket>,
    caller: SocketAddrV4,
    last_used: Arc<Mutex<Instant>>,
    spray: Arc<Sprayer>,
    link: Arc<LinkEmulator>,
}

impl ReturnRelay {
    async fn run(self) {
        let mut buffer: ReceiveBuffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len_bytes, SocketAddr::V4(sender))) => {
                    self.relay(sender, &buffer[..len_bytes]).await;
                }
                Ok((_, SocketAddr::V6(_))) => {}
                // An ICMP error from a stopped balancer; the other balancers are unaffected.
                Err(error) => log::debug!(
                    "failed to receive from balancers for caller {}: {error}",
                    self.caller
                ),
            }
        }
    }

    async fn relay(&self, sender: SocketAddrV4, payload: &[u8]) {
        if payload.len() > MAX_DATAGRAM_BYTES {
            self.spray.count_oversized();
            return;
        }
        touch(&self.last_used);
        let Some(delays) = self.spray.draw_to_caller(*sender.ip()) else {
            return;
        };
        let datagram = Datagram {
            socket: Arc::clone(&self.public_socket),
            destination: self.caller,
            payload: Bytes::copy_from_slice(payload),
        };
        deliver(&self.link, delays, datagram).await;
    }
}

/// Restarts the idle timeout.
fn touch(last_used: &Mutex<Instant>) {
    *last_used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
}

async fn deliver(link: &LinkEmulator, delays: CopyDelays, datagram: Datagram) {
    for delay in delays.into_iter().flatten() {
        link.deliver(delay, datagram.clone()).await;
    }
}
