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
    usable: ArcSwap<Vec<SocketAddrV4>>,
    next: AtomicUsize,
}

impl ReturnPath {
    pub(crate) fn new(own_domain: FailureDomain) -> Self {
        Self {
            own_domain,
            usable: ArcSwap::default(),
            next: AtomicUsize::new(0),
        }
    }

    /// Replaces the live balancers. Those in the agent's own failure domain take all returns, as
    /// links between failure domains cost more; without any, all live ones do.
    ///
    /// Returns the balancers that take returns from now on if they are others than before.
    pub(crate) fn set_live(&self, live: &[BalancerEndpoint]) -> Option<Arc<Vec<SocketAddrV4>>> {
        let near = live.iter().filter(|b| b.failure_domain == self.own_domain);
        let mut usable: Vec<_> = near.map(|b| b.tunnel_address).collect();
        if usable.is_empty() {
            usable = live.iter().map(|b| b.tunnel_address).collect();
        }
        usable.sort_unstable();
        if **self.usable.load() == usable {
            return None;
        }
        let usable = Arc::new(usable);
        self.usable.store(Arc::clone(&usable));
        Some(usable)
    }

    /// Returns the balancer for the next datagram.
    pub(crate) fn next(&self) -> Option<SocketAddrV4> {
        let usable = self.usable.load();
        if usable.is_empty() {
            return None;
        }
        let index = self.next.fetch_add(1, Ordering::Relaxed) % usable.len();
        usable.get(index).copied()
    }
}
