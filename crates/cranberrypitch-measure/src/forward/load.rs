//! Load generators: callers that send packets of established flows, and an agent that discards them.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cranberrypitch_core::token::TOKEN_LEN_BYTES;
use cranberrypitch_core::{Incarnation, RoutingToken, ServiceTag, TokenKeys};

use super::PACKET_BYTES;
use crate::errors::Result;

/// The first byte of a QUIC packet with a short header.
const SHORT_HEADER: u8 = 0x40;

const STOP_POLL: Duration = Duration::from_millis(100);

/// The established flows to one agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flows {
    pub(super) agent: SocketAddrV4,
    pub(super) service: ServiceTag,
    pub(super) keys: TokenKeys,
}

impl Flows {
    pub(super) fn token(&self, number: u32) -> [u8; TOKEN_LEN_BYTES] {
        let incarnation = Incarnation::new(1);
        RoutingToken::new(self.agent, self.service, incarnation, number).encode(&self.keys)
    }

    /// Returns a packet of flow 0.
    pub(super) fn packet(&self) -> [u8; PACKET_BYTES] {
        let mut packet = [0; PACKET_BYTES];
        packet[0] = SHORT_HEADER;
        self.write_token(0, &mut packet);
        packet
    }

    /// Overwrites the routing token of `packet` with that of another flow.
    pub(super) fn write_token(&self, number: u32, packet: &mut [u8; PACKET_BYTES]) {
        packet[1..=TOKEN_LEN_BYTES].copy_from_slice(&self.token(number));
    }
}

/// Threads that run until `stop` is called.
#[derive(Debug)]
pub(super) struct Threads {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Threads {
    pub(super) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ended = thread.join();
        }
    }
}

/// Starts an agent's socket that discards all datagrams.
pub(super) fn start_sink() -> Result<(SocketAddrV4, Threads)> {
    let address = super::free_address()?;
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(STOP_POLL))?;
    let stop = Arc::<AtomicBool>::default();
    let is_stopped = Arc::clone(&stop);
    let thread = std::thread::spawn(move || {
        let mut datagram = [0; 2048];
        while !is_stopped.load(Ordering::Relaxed) {
            let _received = socket.recv_from(&mut datagram);
        }
    });
    let threads = Threads {
        stop,
        threads: vec![thread],
    };
    Ok((address, threads))
}

/// Starts `senders` callers that send packets of `count` flows at the maximum rate.
pub(super) fn start_senders(
    flows: &Flows,
    count: u32,
    to: SocketAddrV4,
    senders: u32,
) -> Result<Threads> {
    let tokens: Arc<[_]> = (0..count).map(|number| flows.token(number)).collect();
    let stop = Arc::<AtomicBool>::default();
    let mut threads = Vec::new();
    for _ in 0..senders {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let (tokens, stop) = (Arc::clone(&tokens), Arc::clone(&stop));
        let mut packet = flows.packet();
        threads.push(std::thread::spawn(move || {
            for token in tokens.iter().cycle() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                packet[1..=TOKEN_LEN_BYTES].copy_from_slice(token);
                let _sent = socket.send_to(&packet, to);
            }
        }));
    }
    Ok(Threads { stop, threads })
}
