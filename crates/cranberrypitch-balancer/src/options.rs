//! The options of a balancer.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::membership::MembershipOptions;
use cranberrypitch_core::placement::PlacementOptions;
use cranberrypitch_core::{Clock, FailureDomain, SystemClock, VmId};
use cranberrypitch_net::KeyRing;

/// The identity of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerIdentity {
    /// The name of the VM that the balancer runs on.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The UDP address on which the balancer receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
}

/// The options of a balancer.
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
    /// Returns a builder with the required options, and defaults for the others.
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

/// A builder of [`BalancerOptions`].
#[derive(Debug)]
#[must_use]
pub struct BalancerOptionsBuilder {
    options: BalancerOptions,
}

impl BalancerOptionsBuilder {
    /// Sets the IP address on which service ports are bound, instead of each service's own address.
    pub const fn service_ip(mut self, ip: Ipv4Addr) -> Self {
        self.options.service_ip = Some(ip);
        self
    }

    /// Sets the time for which the balancer keeps forwarding during its shutdown; 2 s by default.
    pub const fn linger(mut self, linger: Duration) -> Self {
        self.options.linger = linger;
        self
    }

    /// Sets the options for the placement of first packets.
    pub const fn placement(mut self, placement: PlacementOptions) -> Self {
        self.options.placement = placement;
        self
    }

    /// Sets the options of membership, such as the time after which a target counts as silent.
    pub const fn membership(mut self, membership: MembershipOptions) -> Self {
        self.options.membership = membership;
        self
    }

    /// Sets the seed of the random choices of placement; random by default.
    pub const fn seed(mut self, seed: u64) -> Self {
        self.options.seed = Some(seed);
        self
    }

    /// Sets the clock; the system clock by default.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.options.clock = clock;
        self
    }

    /// Returns the options.
    pub fn build(self) -> BalancerOptions {
        self.options
    }
}
