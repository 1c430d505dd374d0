//! The return path: the choice of the balancer that forwards datagrams to callers.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use cranberrypitch_core::FailureDomain;
use cranberrypitch_proto::report::BalancerHint;

/// The addresses and failure domain of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerEndpoint {
    /// The UDP address at which it receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
    /// The TCP address of its control sessions, if it serves any.
    pub control_address: Option<SocketAddrV4>,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomain,
}

impl From<BalancerHint> for BalancerEndpoint {
    fn from(hint: BalancerHint) -> Self {
        Self {
            tunnel_address: hint.tunnel_address,
            control_address: hint.control_address,
            failure_domain: hint.failure_domain,
        }
    }
}

/// Distributes return datagrams round-robin over the usable balancers.
#[derive(Debug)]
pub(crate) struct ReturnPath {
    own_domain: FailureDomain,
    tunnel_addresses: ArcSwap<Vec<SocketAddrV4>>,
    next_index: AtomicUsize,
}

impl ReturnPath {
    pub(crate) fn new(own_domain: FailureDomain) -> Self {
        Self {
            own_domain,
            tunnel_addresses: ArcSwap::default(),
            next_index: AtomicUsize::new(0),
        }
    }

    /// Replaces the set of live balancers. Those in the agent's own failure domain carry all return
    /// datagrams, because links between failure domains cost more. If none of them is there, all
    /// live balancers do.
    ///
    /// Returns the new tunnel addresses, sorted, if they differ from the previous ones.
    pub(crate) fn set_live_balancers(
        &self,
        live: &[BalancerEndpoint],
    ) -> Option<Arc<Vec<SocketAddrV4>>> {
        let local = live.iter().filter(|b| b.failure_domain == self.own_domain);
        let mut addresses: Vec<_> = local.map(|b| b.tunnel_address).collect();
        if addresses.is_empty() {
            addresses = live.iter().map(|b| b.tunnel_address).collect();
        }
        addresses.sort_unstable();
        if **self.tunnel_addresses.load() == addresses {
            return None;
        }
        let addresses = Arc::new(addresses);
        self.tunnel_addresses.store(Arc::clone(&addresses));
        Some(addresses)
    }

    /// Returns the tunnel address for the next datagram, or `None` if no balancer is known.
    pub(crate) fn next_balancer(&self) -> Option<SocketAddrV4> {
        let addresses = self.tunnel_addresses.load();
        if addresses.is_empty() {
            return None;
        }
        let index = self.next_index.fetch_add(1, Ordering::Relaxed) % addresses.len();
        addresses.get(index).copied()
    }
}
