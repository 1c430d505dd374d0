//! The way back: which balancer takes datagrams to callers.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use cranberrypitch_core::FailureDomain;
use cranberrypitch_proto::report::BalancerHint;

/// A balancer as an agent knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerEndpoint {
    /// Where it receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
    /// Where it serves control sessions, if it does.
    pub control_address: Option<SocketAddrV4>,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

impl From<BalancerHint> for BalancerEndpoint {
    fn from(hint: BalancerHint) -> Self {
        Self {
            tunnel_address: hint.tunnel,
            control_address: hint.control,
            failure_domain: hint.failure_domain,
        }
    }
}

/// The balancers that returns are spread over.
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

    /// Replaces the live balancers. Those in the agent's own failure domain take all returns, as
    /// links between failure domains cost more; without any, all live ones do.
    ///
    /// Returns the balancers that take returns from now on if they are others than before.
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

    /// Returns the balancer for the next datagram.
    pub(crate) fn next_balancer(&self) -> Option<SocketAddrV4> {
        let addresses = self.tunnel_addresses.load();
        if addresses.is_empty() {
            return None;
        }
        let index = self.next_index.fetch_add(1, Ordering::Relaxed) % addresses.len();
        addresses.get(index).copied()
    }
}
