//! Settings of the daemons, read from a JSON file.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use cranberrypitch_core::{FailureDomain, ServiceName, VmId};
use serde::Deserialize;
use serde_with::{DurationMilliSecondsWithFrac, DurationSecondsWithFrac, serde_as};

use crate::errors::{Error, Result};

/// The settings of a balancer or an agent. Fields that are not known are left out.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RelaySettings {
    /// The VM.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// At a balancer, where packets of callers arrive; at an agent, where balancers send to. The
    /// port is also that of callers.
    pub datagram_address: SocketAddrV4,
    /// Where the platform asks whether the daemon is ready.
    pub readiness_address: SocketAddrV4,
    /// The first and last port for traffic between daemons.
    pub peer_ports: (u16, u16),
    /// Where the platform's store serves.
    pub store_address: SocketAddrV4,
    /// Where the daemon serves its metrics.
    #[serde(default)]
    pub metrics_address: Option<SocketAddrV4>,
    /// Where a balancer tells others what it knows.
    pub snapshot_address: Option<SocketAddrV4>,
    /// Snapshot addresses of balancers that may be there, for a start while the store is down.
    pub seed_addresses: Vec<SocketAddrV4>,
    /// The least time to live of a lease.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub lease_min_ms: Duration,
    /// The time between the request to stop and the end by force.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace_s: Duration,
    /// The longest life of a flow.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub flow_lifetime_s: Duration,
    /// The time after which the address of a target that is gone may be that of another.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub address_reuse_s: Duration,
    /// The time between two status reports of the target.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub status_interval_ms: Duration,
    /// What an agent needs beside it.
    pub target: Option<TargetSettings>,
}

/// The settings of an agent for its target.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct TargetSettings {
    /// Where the target calls the agent.
    pub status_address: SocketAddrV4,
    /// Where the target sends its packets.
    pub outbound_address: SocketAddrV4,
    /// Where the target receives packets.
    pub backend_address: SocketAddrV4,
    /// The service that the target serves.
    pub service: ServiceName,
}

impl RelaySettings {
    /// Reads settings from a file.
    pub fn from_file(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::SettingsFile {
            file: file.into(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Reads settings from a text.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = serde_json::from_str(text).map_err(|e| Error::settings(&e))?;
        if settings.peer_ports.0 > settings.peer_ports.1 {
            return Err(Error::settings(&"peer_ports: the first is over the last"));
        }
        Ok(settings)
    }

    /// Returns the IP of the VM.
    pub const fn ip(&self) -> Ipv4Addr {
        *self.datagram_address.ip()
    }

    /// Returns where a balancer receives messages of agents.
    pub const fn balancer_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(), self.peer_ports.0)
    }

    /// Returns where the seed balancers receive messages of agents.
    pub fn seed_balancers(&self) -> Box<[SocketAddrV4]> {
        let seeds = self.seed_addresses.iter();
        seeds
            .map(|seed| SocketAddrV4::new(*seed.ip(), self.peer_ports.0))
            .collect()
    }
}
