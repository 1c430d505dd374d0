//! The sockets that stand for callers towards the balancers.

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
use super::spray::{Copies, Spray};

/// The longest datagram: an Ethernet frame's 1,500 bytes without the IPv4 and UDP headers. Loopback
/// would take longer ones, which the platform drops.
const MAX_DATAGRAM_BYTES: usize = 1472;

/// One byte more than the longest datagram tells longer ones apart.
type Buffer = [u8; MAX_DATAGRAM_BYTES + 1];

/// Relays the datagrams of one service.
#[derive(Debug)]
pub(crate) struct ServiceRelay {
    public: Arc<UdpSocket>,
    port: u16,
    spray: Arc<Spray>,
    link: Arc<LinkEmulator>,
    callers: FastMap<SocketAddrV4, CallerSocket>,
    max_callers: usize,
    idle_timeout: Duration,
}

/// The socket of one caller. Its task ends when it is dropped.
#[derive(Debug)]
struct CallerSocket {
    socket: Arc<UdpSocket>,
    last_used: Arc<Mutex<Instant>>,
    returns: AbortHandle,
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        self.returns.abort();
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
        public: Arc<UdpSocket>,
        port: u16,
        spray: Arc<Spray>,
        link: Arc<LinkEmulator>,
    ) -> Self {
        Self {
            public,
            port,
            spray,
            link,
            callers: FastMap::default(),
            max_callers: options.max_callers,
            idle_timeout: options.idle_timeout,
        }
    }

    /// Relays datagrams, forever.
    pub(crate) async fn run(mut self) {
        let mut sweep = interval(self.idle_timeout / 2);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer: Buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let public = Arc::clone(&self.public);
        loop {
            tokio::select! {
                _ = sweep.tick() => self.drop_idle(),
                received = public.recv_from(&mut buffer) => match received {
                    Ok((len_bytes, SocketAddr::V4(caller))) => {
                        self.relay(caller, &buffer[..len_bytes]).await;
                    }
                    Ok((_, SocketAddr::V6(_))) => {}
                    Err(error) => log::debug!("can't receive from callers: {error}"),
                },
            }
        }
    }

    async fn relay(&mut self, caller: SocketAddrV4, payload: &[u8]) {
        if payload.len() > MAX_DATAGRAM_BYTES {
            self.spray.count_oversized();
            return;
        }
        let socket = match self.socket_of(caller).await {
            Ok(socket) => socket,
            Err(error) => {
                log::warn!("no socket for caller {caller}: {error}");
                return;
            }
        };
        let Some((balancer, copies)) = self.spray.to_balancer() else {
            return;
        };
        let datagram = Datagram {
            socket,
            destination: SocketAddrV4::new(balancer, self.port),
            payload: Bytes::copy_from_slice(payload),
        };
        deliver(&self.link, copies, datagram).await;
    }

    async fn socket_of(&mut self, caller: SocketAddrV4) -> io::Result<Arc<UdpSocket>> {
        if let Some(entry) = self.callers.get(&caller) {
            touch(&entry.last_used);
            return Ok(Arc::clone(&entry.socket));
        }
        if self.callers.len() >= self.max_callers {
            self.drop_longest_idle();
        }
        let local_ip = self.public.local_addr()?.ip();
        let socket = Arc::new(UdpSocket::bind((local_ip, 0)).await?);
        let last_used = Arc::new(Mutex::new(Instant::now()));
        let returns = ReturnRelay {
            socket: Arc::clone(&socket),
            public: Arc::clone(&self.public),
            caller,
            last_used: Arc::clone(&last_used),
            spray: Arc::clone(&self.spray),
            link: Arc::clone(&self.link),
        };
        let entry = CallerSocket {
            socket: Arc::clone(&socket),
            last_used,
            returns: tokio::spawn(returns.run()).abort_handle(),
        };
        self.callers.insert(caller, entry);
        Ok(socket)
    }

    fn drop_idle(&mut self) {
        let now = Instant::now();
        let idle_timeout = self.idle_timeout;
        self.callers
            .retain(|_, entry| now < entry.last_used() + idle_timeout);
    }

    fn drop_longest_idle(&mut self) {
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

/// Relays the datagrams that balancers send to one caller.
#[derive(Debug)]
struct ReturnRelay {
    socket: Arc<UdpSocket>,
    public: Arc<UdpSocket>,
    caller: SocketAddrV4,
    last_used: Arc<Mutex<Instant>>,
    spray: Arc<Spray>,
    link: Arc<LinkEmulator>,
}

impl ReturnRelay {
    async fn run(self) {
        let mut buffer: Buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len_bytes, SocketAddr::V4(sender))) => {
                    self.relay(sender, &buffer[..len_bytes]).await;
                }
                Ok((_, SocketAddr::V6(_))) => {}
                // A dead balancer shows up as a refused connection; the others go on.
                Err(error) => log::debug!("can't receive for caller {}: {error}", self.caller),
            }
        }
    }

    async fn relay(&self, sender: SocketAddrV4, payload: &[u8]) {
        if payload.len() > MAX_DATAGRAM_BYTES {
            self.spray.count_oversized();
            return;
        }
        touch(&self.last_used);
        let Some(copies) = self.spray.to_caller(*sender.ip()) else {
            return;
        };
        let datagram = Datagram {
            socket: Arc::clone(&self.public),
            destination: self.caller,
            payload: Bytes::copy_from_slice(payload),
        };
        deliver(&self.link, copies, datagram).await;
    }
}

fn touch(last_used: &Mutex<Instant>) {
    *last_used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
}

async fn deliver(link: &LinkEmulator, copies: Copies, datagram: Datagram) {
    for delay in copies.into_iter().flatten() {
        link.deliver(delay, datagram.clone()).await;
    }
}
