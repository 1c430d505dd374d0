//! Options of the stand-in fabric.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::errors::{Error, Result};

/// The properties of the links in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkOptions {
    pub(crate) delay: Duration,
    pub(crate) jitter: Duration,
    pub(crate) loss_rate: f64,
    pub(crate) duplication_rate: f64,
}

impl LinkOptions {
    /// Returns the properties of a link without delay, loss and duplication.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the delay of each packet, at most one minute.
    #[must_use]
    pub const fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Sets the maximum jitter, at most one minute. Each packet has an additional delay that is
    /// uniformly distributed from zero to it.
    #[must_use]
    pub const fn jitter(mut self, jitter: Duration) -> Self {
        self.jitter = jitter;
        self
    }

    /// Sets the probability of packet loss, from 0 to 1.
    #[must_use]
    pub const fn loss_rate(mut self, loss_rate: f64) -> Self {
        self.loss_rate = loss_rate;
        self
    }

    /// Sets the probability, from 0 to 1, that a packet is duplicated.
    #[must_use]
    pub const fn duplication_rate(mut self, duplication_rate: f64) -> Self {
        self.duplication_rate = duplication_rate;
        self
    }

    /// Returns an error for the first option that is out of range.
    pub(crate) fn check(&self) -> Result<()> {
        const RULE: &str = "a share from 0 to 1";
        if self.delay.max(self.jitter) > Duration::from_mins(1) {
            return Err(Error::invalid_option(
                "delay and jitter",
                "at most one minute each",
            ));
        }
        if !(0.0..=1.0).contains(&self.loss_rate) {
            return Err(Error::invalid_option("loss", RULE));
        }
        if !(0.0..=1.0).contains(&self.duplication_rate) {
            return Err(Error::invalid_option("duplication", RULE));
        }
        Ok(())
    }
}

/// Options of the stand-in fabric.
#[derive(Clone, Debug)]
pub struct FabricOptions {
    pub(crate) seed: u64,
    pub(crate) services: Vec<(SocketAddrV4, u16)>,
    pub(crate) balancers: Vec<Ipv4Addr>,
    pub(crate) to_balancers: LinkOptions,
    pub(crate) to_callers: LinkOptions,
    pub(crate) max_callers: usize,
    pub(crate) idle_timeout: Duration,
    pub(crate) max_queued_datagrams: usize,
}

impl FabricOptions {
    /// Returns options without services and balancers. `seed` initialises the random generator.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            services: Vec::new(),
            balancers: Vec::new(),
            to_balancers: LinkOptions {
                delay: Duration::ZERO,
                jitter: Duration::ZERO,
                loss_rate: 0.0,
                duplication_rate: 0.0,
            },
            to_callers: LinkOptions {
                delay: Duration::ZERO,
                jitter: Duration::ZERO,
                loss_rate: 0.0,
                duplication_rate: 0.0,
            },
            max_callers: 4096,
            idle_timeout: Duration::from_mins(1),
            max_queued_datagrams: 65_536,
        }
    }

    /// Adds a service. Callers send to `public_address`; balancers receive on `balancer_port`.
    #[must_use]
    pub fn service(mut self, public_address: SocketAddrV4, balancer_port: u16) -> Self {
        self.services.push((public_address, balancer_port));
        self
    }

    /// Sets the initial live balancers.
    #[must_use]
    pub fn balancers(mut self, balancers: &[Ipv4Addr]) -> Self {
        self.balancers = balancers.to_vec();
        self
    }

    /// Sets the properties of the links from callers to balancers.
    #[must_use]
    pub const fn to_balancers(mut self, link: LinkOptions) -> Self {
        self.to_balancers = link;
        self
    }

    /// Sets the properties of the links from balancers to callers.
    #[must_use]
    pub const fn to_callers(mut self, link: LinkOptions) -> Self {
        self.to_callers = link;
        self
    }

    /// Sets the maximum number of sockets for callers of one service. A further caller replaces the
    /// one that has been idle for longest.
    #[must_use]
    pub const fn max_callers(mut self, max_callers: usize) -> Self {
        self.max_callers = max_callers;
        self
    }

    /// Sets the time without packets in either direction after which a caller's socket is closed.
    #[must_use]
    pub const fn idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets the maximum number of delayed datagrams. Further ones are dropped and counted.
    #[must_use]
    pub const fn max_queued_datagrams(mut self, max_queued_datagrams: usize) -> Self {
        self.max_queued_datagrams = max_queued_datagrams;
        self
    }

    /// Returns an error for the first option that is out of range.
    pub(crate) fn check(&self) -> Result<()> {
        if self.max_callers == 0 {
            return Err(Error::invalid_option("callers_max", "at least 1"));
        }
        if self.idle_timeout < Duration::from_millis(1) {
            return Err(Error::invalid_option("idle_timeout", "at least 1 ms"));
        }
        self.to_balancers.check()?;
        self.to_callers.check()
    }
}
