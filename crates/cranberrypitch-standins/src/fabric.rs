//! The stand-in for the platform's fabric, which sprays packets over the balancers.
//!
//! It listens on the public address of each service and sends each datagram to a balancer drawn at
//! random. Towards the balancers it holds one UDP socket per caller and service, so every balancer
//! sees the same address for a caller.

mod callers;
mod link;
mod options;
mod spray;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use cranberrypitch_net::udp::bind_nonblocking;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use self::callers::ServiceRelay;
use self::link::LinkEmulator;
pub use self::options::{FabricOptions, LinkOptions};
use self::spray::Spray;
pub use self::spray::{BalancerCounters, Direction, FabricCounters};
use crate::errors::{Error, Result};

/// The stand-in for the fabric.
#[derive(Debug)]
pub struct Fabric;

impl Fabric {
    /// Starts a fabric on the current tokio runtime.
    #[expect(
        clippy::unused_async,
        reason = "callers need a runtime, which an async fn shows"
    )]
    pub async fn spawn(options: FabricOptions) -> Result<FabricHandle> {
        options.check()?;
        let spray = Arc::new(Spray::new(&options));
        let link = Arc::new(LinkEmulator::new(options.max_queued_datagrams));
        let mut tasks = JoinSet::new();
        let mut addresses = Vec::new();
        for (public, port) in &options.services {
            let socket = bind_nonblocking(*public)
                .and_then(UdpSocket::from_std)
                .map_err(|e| Error::listen(*public, e))?;
            addresses.push(bound_address(&socket, *public)?);
            let relay = ServiceRelay::new(
                &options,
                Arc::new(socket),
                *port,
                Arc::clone(&spray),
                Arc::clone(&link),
            );
            tasks.spawn(relay.run());
        }
        let queue = Arc::clone(&link);
        tasks.spawn(async move { queue.run().await });
        Ok(FabricHandle {
            addresses,
            spray,
            link,
            _tasks: tasks,
        })
    }
}

fn bound_address(socket: &UdpSocket, asked: SocketAddrV4) -> Result<SocketAddrV4> {
    match socket.local_addr() {
        Ok(SocketAddr::V4(address)) => Ok(address),
        Ok(SocketAddr::V6(_)) => Ok(asked),
        Err(error) => Err(Error::listen(asked, error)),
    }
}

/// A running fabric. It stops when this is dropped.
#[derive(Debug)]
pub struct FabricHandle {
    addresses: Vec<SocketAddrV4>,
    spray: Arc<Spray>,
    link: Arc<LinkEmulator>,
    _tasks: JoinSet<()>,
}

impl FabricHandle {
    /// Returns the public addresses, in the order in which the services were given.
    pub fn addresses(&self) -> &[SocketAddrV4] {
        &self.addresses
    }

    /// Sets the live balancers, over which packets are sprayed from now on.
    ///
    /// What a balancer sends after it has left the list still reaches the callers.
    pub fn set_balancers(&self, balancers: &[Ipv4Addr]) {
        self.spray.set_balancers(balancers);
    }

    /// Cuts or restores the link to a balancer, in both directions.
    ///
    /// The balancer stays among the live ones, so its share of the packets is lost.
    pub fn set_link_down(&self, balancer: Ipv4Addr, is_down: bool) {
        self.spray.set_link_down(balancer, is_down);
    }

    /// Replaces the properties of the links in one direction.
    pub fn set_link_options(&self, direction: Direction, link: LinkOptions) -> Result<()> {
        link.check()?;
        self.spray.set_link_options(direction, link);
        Ok(())
    }

    /// Returns what has been counted since the start.
    pub fn counters(&self) -> FabricCounters {
        let mut counters = self.spray.counters();
        counters.queue_full = self.link.queue_full();
        counters
    }
}
