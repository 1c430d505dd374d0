//! JSON settings files of the `standin` program.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::{ConnectionLimit, Slots, SystemClock};
use cranberrypitch_net::store::MemoryStore;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::backend::{BackendOptions, Faults, ServiceTime};
use crate::errors::{Error, Result};
use crate::fabric::{FabricOptions, LinkOptions};

/// Settings of `standin fabric`.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FabricSettings {
    seed: u64,
    services: Vec<FabricService>,
    balancers: Vec<Ipv4Addr>,
    #[serde(default)]
    to_balancers: LinkSettings,
    #[serde(default)]
    to_callers: LinkSettings,
    #[serde(rename = "callers_max")]
    max_callers: Option<usize>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "idle_timeout_ms", default)]
    idle_timeout: Option<Duration>,
    #[serde(rename = "queue_max")]
    max_queued_datagrams: Option<usize>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FabricService {
    #[serde(rename = "public")]
    public_address: SocketAddrV4,
    #[serde(rename = "port")]
    balancer_port: u16,
}

#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LinkSettings {
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    delay: Duration,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "jitter_ms")]
    jitter: Duration,
    #[serde(rename = "loss")]
    loss_rate: f64,
    #[serde(rename = "duplication")]
    duplication_rate: f64,
}

impl LinkSettings {
    fn options(self) -> LinkOptions {
        LinkOptions::new()
            .delay(self.delay)
            .jitter(self.jitter)
            .loss_rate(self.loss_rate)
            .duplication_rate(self.duplication_rate)
    }
}

impl FabricSettings {
    /// Reads a settings file, or returns [`Error::Settings`].
    pub fn read(file: &Path) -> Result<Self> {
        read(file)
    }

    /// Returns the options for these settings. Options that are not set have their defaults.
    pub fn options(&self) -> FabricOptions {
        let mut options = FabricOptions::new(self.seed)
            .balancers(&self.balancers)
            .to_balancers(self.to_balancers.options())
            .to_callers(self.to_callers.options());
        for service in &self.services {
            options = options.service(service.public_address, service.balancer_port);
        }
        if let Some(max_callers) = self.max_callers {
            options = options.max_callers(max_callers);
        }
        if let Some(idle_timeout) = self.idle_timeout {
            options = options.idle_timeout(idle_timeout);
        }
        if let Some(max_queued_datagrams) = self.max_queued_datagrams {
            options = options.max_queued_datagrams(max_queued_datagrams);
        }
        options
    }
}

/// Settings of `standin backend`.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    seed: u64,
    address: SocketAddr,
    slots: Option<Slots>,
    #[serde(rename = "connections")]
    connection_limit: Option<ConnectionLimit>,
    service_time: Option<ServiceTimeSettings>,
    cold_start: Option<ColdStartSettings>,
    #[serde(default)]
    feed_seed: u64,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "reading_interval_ms", default)]
    reading_interval: Option<Duration>,
    #[serde(rename = "feed_len")]
    readings_per_feed: Option<u64>,
    #[serde(default)]
    faults: Faults,
}

#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
enum ServiceTimeSettings {
    #[serde(rename = "fixed_ms")]
    Fixed(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration),
    #[serde(rename = "exponential_ms")]
    Exponential(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration),
}

#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdStartSettings {
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    duration: Duration,
    factor: f64,
}

impl From<ServiceTimeSettings> for ServiceTime {
    fn from(settings: ServiceTimeSettings) -> Self {
        match settings {
            ServiceTimeSettings::Fixed(time) => Self::Fixed(time),
            ServiceTimeSettings::Exponential(mean) => Self::Exponential(mean),
        }
    }
}

impl BackendSettings {
    /// Reads a settings file, or returns [`Error::Settings`].
    pub fn read(file: &Path) -> Result<Self> {
        read(file)
    }

    /// Returns the options for these settings. Options that are not set have their defaults.
    pub fn options(&self) -> BackendOptions {
        let mut options = BackendOptions::new(self.seed)
            .address(self.address)
            .feed_seed(self.feed_seed)
            .faults(self.faults.clone());
        if let Some(slots) = self.slots {
            options = options.slots(slots);
        }
        if let Some(connection_limit) = self.connection_limit {
            options = options.connection_limit(connection_limit);
        }
        if let Some(service_time) = self.service_time {
            options = options.service_time(service_time.into());
        }
        if let Some(cold_start) = self.cold_start {
            options = options.cold_start(cold_start.duration, cold_start.factor);
        }
        if let Some(reading_interval) = self.reading_interval {
            options = options.reading_interval(reading_interval);
        }
        if let Some(readings_per_feed) = self.readings_per_feed {
            options = options.readings_per_feed(readings_per_feed);
        }
        options
    }
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T> {
    let text = std::fs::read_to_string(file).map_err(|e| Error::settings(file, &e))?;
    serde_json::from_str(&text).map_err(|e| Error::settings(file, &e))
}

/// Settings of `standin store`.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    address: SocketAddrV4,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_timeout_ms", default = "default_call_timeout")]
    call_timeout: Duration,
}

const fn default_call_timeout() -> Duration {
    Duration::from_secs(1)
}

impl StoreSettings {
    /// Reads a settings file, or returns [`Error::Settings`].
    pub fn read(file: &Path) -> Result<Self> {
        read(file)
    }

    /// Returns the address to listen on.
    pub const fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Returns an empty in-memory store with the call timeout.
    pub fn store(&self) -> MemoryStore {
        MemoryStore::new(Arc::new(SystemClock), self.call_timeout)
    }
}
