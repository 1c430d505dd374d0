//! The baseline: a UDP relay that forwards each packet without inspecting it.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::errors::Result;

/// The name of the relay's thread.
pub(super) const THREAD_NAME: &str = "bare-relay";

const MAX_DATAGRAM_BYTES: usize = 1500;

/// The interval at which an idle relay checks whether it was stopped.
const STOP_POLL: Duration = Duration::from_millis(100);

/// A running relay.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) address: SocketAddrV4,
    forwarded: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Relay {
    pub(super) fn start(to: SocketAddrV4) -> Result<Self> {
        let address = super::free_address()?;
        let inbound = UdpSocket::bind(address)?;
        inbound.set_read_timeout(Some(STOP_POLL))?;
        let outbound = UdpSocket::bind((*address.ip(), 0))?;
        let forwarded = Arc::<AtomicU64>::default();
        let stop = Arc::<AtomicBool>::default();
        let (count, is_stopped) = (Arc::clone(&forwarded), Arc::clone(&stop));
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || forward(&inbound, &outbound, to, &count, &is_stopped))?;
        Ok(Self {
            address,
            forwarded,
            stop,
            thread,
        })
    }

    pub(super) fn forwarded(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    pub(super) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ended = self.thread.join();
    }
}

fn forward(
    inbound: &UdpSocket,
    outbound: &UdpSocket,
    to: SocketAddrV4,
    count: &AtomicU64,
    stop: &AtomicBool,
) {
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let Ok((len, _)) = inbound.recv_from(&mut datagram) else {
            continue;
        };
        if outbound.send_to(&datagram[..len], to).is_ok() {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
}
