//! What a balancer is started with.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::membership::MembershipOptions;
use cranberrypitch_core::placement::PlacementOptions;
use cranberrypitch_core::{Clock, FailureDomain, SystemClock, VmId};
use cranberrypitch_net::KeyRing;

/// Who a balancer is.
#[derive(Clone, Debug)]
pub struct BalancerIdentity {
    /// The VM of the balancer.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Where the balancer receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
}

/// What a balancer is started with.
#[derive(Debug)]
pub struct BalancerOptions {
    pub(crate) identity: BalancerIdentity,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) service_ip: Option<Ipv4Addr>,
    pub(crate) linger: Duration,
    pub(crate) placement: PlacementOptions,
    pub(crate) membership: MembershipOptions,
    pub(crate) seed: Option<u64>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl BalancerOptions {
    /// Returns a builder with what every balancer needs and defaults for the rest.
    pub fn builder(identity: BalancerIdentity, keys: Arc<KeyRing>) -> BalancerOptionsBuilder {
        BalancerOptionsBuilder {
            options: Self {
                identity,
                keys,
                service_ip: None,
                linger: Duration::from_secs(2),
                placement: PlacementOptions::default(),
                membership: MembershipOptions::default(),
                seed: None,
                clock: Arc::new(SystemClock),
            },
        }
    }
}

/// Collects the options of a balancer.
#[derive(Debug)]
#[must_use]
pub struct BalancerOptionsBuilder {
    options: BalancerOptions,
}

impl BalancerOptionsBuilder {
    /// Sets the IP on which service ports are bound, in place of each service's own address.
    pub const fn service_ip(mut self, ip: Ipv4Addr) -> Self {
        self.options.service_ip = Some(ip);
        self
    }

    /// Sets how long a leaving balancer goes on forwarding.
    pub const fn linger(mut self, linger: Duration) -> Self {
        self.options.linger = linger;
        self
    }

    /// Sets how targets are chosen.
    pub const fn placement(mut self, placement: PlacementOptions) -> Self {
        self.options.placement = placement;
        self
    }

    /// Sets how silence is judged.
    pub const fn membership(mut self, membership: MembershipOptions) -> Self {
        self.options.membership = membership;
        self
    }

    /// Seeds the random choices of placement.
    pub const fn seed(mut self, seed: u64) -> Self {
        self.options.seed = Some(seed);
        self
    }

    /// Sets the clock.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.options.clock = clock;
        self
    }

    /// Returns the options.
    pub fn build(self) -> BalancerOptions {
        self.options
    }
}
