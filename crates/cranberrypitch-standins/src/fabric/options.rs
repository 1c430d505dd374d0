//! Options of the fabric.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::errors::{Error, Result};

/// Properties of the links in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkOptions {
    pub(crate) delay: Duration,
    pub(crate) jitter: Duration,
    pub(crate) loss_rate: f64,
    pub(crate) duplication_rate: f64,
}

impl LinkOptions {
    /// Returns a link without delay or faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the delay of every packet.
    #[must_use]
    pub const fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Sets the longest additional delay; each packet draws from zero up to it.
    #[must_use]
    pub const fn jitter(mut self, jitter: Duration) -> Self {
        self.jitter = jitter;
        self
    }

    /// Sets the share of packets that are lost, from 0 to 1.
    #[must_use]
    pub const fn loss_rate(mut self, loss_rate: f64) -> Self {
        self.loss_rate = loss_rate;
        self
    }

    /// Sets the share of packets that are delivered twice, from 0 to 1.
    #[must_use]
    pub const fn duplication_rate(mut self, duplication_rate: f64) -> Self {
        self.duplication_rate = duplication_rate;
        self
    }

    pub(crate) fn check(&self) -> Result<()> {
        const RULE: &str = "a share from 0 to 1";
        if self.delay.max(self.jitter) > Duration::from_mins(1) {
            return Err(Error::option("delay and jitter", "at most one minute each"));
        }
        if !(0.0..=1.0).contains(&self.loss_rate) {
            return Err(Error::option("loss", RULE));
        }
        if !(0.0..=1.0).contains(&self.duplication_rate) {
            return Err(Error::option("duplication", RULE));
        }
        Ok(())
    }
}

/// Options of a fabric.
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
    /// Returns options without services and balancers; `seed` decides all random draws.
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

    /// Adds a service: callers send to `public`, and balancers receive on `port`.
    #[must_use]
    pub fn service(mut self, public: SocketAddrV4, port: u16) -> Self {
        self.services.push((public, port));
        self
    }

    /// Sets the balancers that are live at the start.
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

    /// Sets how many callers of one service hold a socket; the longest idle one makes room.
    #[must_use]
    pub const fn max_callers(mut self, max_callers: usize) -> Self {
        self.max_callers = max_callers;
        self
    }

    /// Sets after which time without a packet, in either direction, a caller's socket is dropped.
    #[must_use]
    pub const fn idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets how many packets may be delayed at once; further ones are lost and counted.
    #[must_use]
    pub const fn max_queued_datagrams(mut self, max_queued_datagrams: usize) -> Self {
        self.max_queued_datagrams = max_queued_datagrams;
        self
    }

    pub(crate) fn check(&self) -> Result<()> {
        if self.max_callers == 0 {
            return Err(Error::option("callers_max", "at least 1"));
        }
        if self.idle_timeout < Duration::from_millis(1) {
            return Err(Error::option("idle_timeout", "at least 1 ms"));
        }
        self.to_balancers.check()?;
        self.to_callers.check()
    }
}
