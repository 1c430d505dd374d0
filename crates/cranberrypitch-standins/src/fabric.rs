//! The stand-in for the platform's network fabric, which sprays packets over the balancers.
//!
//! It listens on the public address of each service and forwards each datagram to a random live
//! balancer. It sends to the balancers from one UDP socket per caller and service, so that a caller has
//! the same source address at every balancer.

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
use self::spray::Sprayer;
pub use self::spray::{BalancerCounters, Direction, FabricCounters};
use crate::errors::{Error, Result};

/// The stand-in for the network fabric.
#[derive(Debug)]
pub struct Fabric;

impl Fabric {
    /// Starts a fabric on the current tokio runtime.
    ///
    /// Returns an error if an option is out of range or a public address can't be bound.
    #[expect(
        clippy::unused_async,
        reason = "needs a tokio runtime, which an async fn implies"
    )]
    pub async fn spawn(options: FabricOptions) -> Result<FabricHandle> {
        options.check()?;
        let spray = Arc::new(Sprayer::new(&options));
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
        let link_task = Arc::clone(&link);
        tasks.spawn(async move { link_task.run().await });
        Ok(FabricHandle {
            addresses,
            spray,
            link,
            _tasks: tasks,
        })
    }
}

fn bound_address(socket: &UdpSocket, requested: SocketAddrV4) -> Result<SocketAddrV4> {
    match socket.local_addr() {
        Ok(SocketAddr::V4(address)) => Ok(address),
        Ok(SocketAddr::V6(_)) => Ok(requested),
        Err(error) => Err(Error::listen(requested, error)),
    }
}

/// A running fabric, which stops on drop.
#[derive(Debug)]
pub struct FabricHandle {
    addresses: Vec<SocketAddrV4>,
    spray: Arc<Sprayer>,
    link: Arc<LinkEmulator>,
    _tasks: JoinSet<()>,
}

impl FabricHandle {
    /// Returns the public addresses, in the order of [`FabricOptions::service`] calls.
    pub fn addresses(&self) -> &[SocketAddrV4] {
        &self.addresses
    }

    /// Sets the live balancers, to which packets are sprayed.
    ///
    /// Packets from a balancer that was removed from the list still reach the callers.
    pub fn set_balancers(&self, balancers: &[Ipv4Addr]) {
        self.spray.set_balancers(balancers);
    }

    /// Takes the link to a balancer down or up, in both directions.
    ///
    /// A live balancer stays live, so its share of the packets is lost while its link is down.
    pub fn set_link_down(&self, balancer: Ipv4Addr, is_down: bool) {
        self.spray.set_link_down(balancer, is_down);
    }

    /// Replaces the properties of the links in one direction, or returns an error for one that is out
    /// of range.
    pub fn set_link_options(&self, direction: Direction, link: LinkOptions) -> Result<()> {
        link.check()?;
        self.spray.set_link_options(direction, link);
        Ok(())
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> FabricCounters {
        let mut counters = self.spray.counters();
        counters.queue_full = self.link.dropped();
        counters
    }
}
