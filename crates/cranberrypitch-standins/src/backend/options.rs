//! Options of the stand-in backend server.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime};

use cranberrypitch_core::{ConnectionLimit, Slots};

use super::faults::Faults;
use crate::errors::{Error, Result};

/// The distribution of the service time, which is the duration of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceTime {
    /// Every run takes the same time.
    Fixed(Duration),
    /// The service time has an exponential distribution with this mean.
    Exponential(Duration),
}

/// Options of the stand-in backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    pub(crate) address: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) slots: Slots,
    pub(crate) connection_limit: ConnectionLimit,
    pub(crate) service_time: ServiceTime,
    pub(crate) cold_start: Duration,
    pub(crate) cold_start_factor: f64,
    pub(crate) feed_seed: u64,
    pub(crate) feed_epoch: SystemTime,
    pub(crate) reading_interval: Duration,
    pub(crate) readings_per_feed: Option<u64>,
    pub(crate) faults: Faults,
}

impl BackendOptions {
    /// Returns the options of a server with 4 slots on a free loopback port. `seed` initialises the
    /// random generator for service times and faults.
    pub fn new(seed: u64) -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed,
            slots: Slots::new(4),
            connection_limit: ConnectionLimit::new(2000),
            service_time: ServiceTime::Fixed(Duration::from_millis(10)),
            cold_start: Duration::ZERO,
            cold_start_factor: 1.0,
            feed_seed: 0,
            feed_epoch: SystemTime::UNIX_EPOCH,
            reading_interval: Duration::from_millis(200),
            readings_per_feed: None,
            faults: Faults::default(),
        }
    }

    /// Sets the address to listen on.
    #[must_use]
    pub const fn address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets the number of orders and uploads that run concurrently. Others wait until their deadline.
    #[must_use]
    pub const fn slots(mut self, slots: Slots) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the maximum number of connections. Requests on further ones are refused and not run.
    #[must_use]
    pub const fn connection_limit(mut self, connection_limit: ConnectionLimit) -> Self {
        self.connection_limit = connection_limit;
        self
    }

    /// Sets the distribution of the service time.
    #[must_use]
    pub const fn service_time(mut self, service_time: ServiceTime) -> Self {
        self.service_time = service_time;
        self
    }

    /// Multiplies the service time by `factor` for `duration` after the start of the server.
    #[must_use]
    pub const fn cold_start(mut self, duration: Duration, factor: f64) -> Self {
        self.cold_start = duration;
        self.cold_start_factor = factor;
        self
    }

    /// Sets the seed of the readings, which must be the same on every server of a service.
    #[must_use]
    pub const fn feed_seed(mut self, feed_seed: u64) -> Self {
        self.feed_seed = feed_seed;
        self
    }

    /// Sets the time of reading 0, which must be the same on every server of a service.
    #[must_use]
    pub const fn feed_epoch(mut self, feed_epoch: SystemTime) -> Self {
        self.feed_epoch = feed_epoch;
        self
    }

    /// Sets the time between consecutive readings.
    #[must_use]
    pub const fn reading_interval(mut self, reading_interval: Duration) -> Self {
        self.reading_interval = reading_interval;
        self
    }

    /// Sets the number of readings after which a feed ends. By default, feeds are endless.
    #[must_use]
    pub const fn readings_per_feed(mut self, readings_per_feed: u64) -> Self {
        self.readings_per_feed = Some(readings_per_feed);
        self
    }

    /// Sets the faults that are injected from the start.
    #[must_use]
    pub fn faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Returns an error for the first option that is out of range.
    pub(crate) fn check(&self) -> Result<()> {
        if self.slots.get() == 0 {
            return Err(Error::invalid_option("slots", "at least 1"));
        }
        if self.connection_limit.get() == 0 {
            return Err(Error::invalid_option("connections", "at least 1"));
        }
        let (ServiceTime::Fixed(time) | ServiceTime::Exponential(time)) = self.service_time;
        if time > Duration::from_hours(1) {
            return Err(Error::invalid_option("service_time", "at most one hour"));
        }
        if self.reading_interval < Duration::from_millis(1) {
            return Err(Error::invalid_option("reading_interval", "at least 1 ms"));
        }
        if !(1.0..=1000.0).contains(&self.cold_start_factor) {
            return Err(Error::invalid_option("cold_start_factor", "from 1 to 1000"));
        }
        self.faults.check()
    }
}
