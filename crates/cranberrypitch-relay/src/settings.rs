//! Settings of the daemons, read from a JSON file.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use cranberrypitch_core::{FailureDomain, ServiceName, VmId};
use serde::Deserialize;
use serde_with::{DurationMilliSecondsWithFrac, DurationSecondsWithFrac, serde_as};

use crate::errors::{Error, Result};

/// The part of the stop grace that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(700);

/// The settings of a balancer or an agent. Unknown fields are ignored.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RelaySettings {
    /// The name of the VM that runs the daemon.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The address at which a balancer receives packets of callers, or an agent receives messages
    /// of balancers. Callers receive their packets on the same port.
    pub datagram_address: SocketAddrV4,
    /// The address at which the daemon serves readiness probes.
    pub readiness_address: SocketAddrV4,
    /// The first and last port for traffic between daemons, both inclusive.
    pub peer_ports: (u16, u16),
    /// The address of the platform's store.
    pub store_address: SocketAddrV4,
    /// The address at which the daemon serves its metrics; none disables them.
    #[serde(default)]
    pub metrics_address: Option<SocketAddrV4>,
    /// The address at which a balancer serves its snapshot to other balancers.
    pub snapshot_address: Option<SocketAddrV4>,
    /// Snapshot addresses of other balancers, for a start while the store is down. They need not
    /// all exist.
    pub seed_addresses: Vec<SocketAddrV4>,
    /// The minimum time to live of a lease, in milliseconds in the file.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub lease_min_ms: Duration,
    /// The time between the stop signal and the forced end of the process, in seconds in the
    /// file.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace_s: Duration,
    /// The maximum lifetime of a flow, in seconds in the file.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub flow_lifetime_s: Duration,
    /// The time after which the address of a stopped target may be assigned to another one, in
    /// seconds in the file.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub address_reuse_s: Duration,
    /// The interval of the target's status reports, in milliseconds in the file.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub status_interval_ms: Duration,
    /// The target of an agent; none at a balancer.
    pub target: Option<TargetSettings>,
}

/// The settings of an agent for its target.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct TargetSettings {
    /// The address at which the agent receives the status reports of the target.
    pub status_address: SocketAddrV4,
    /// The address at which the agent receives the packets of the target.
    pub outbound_address: SocketAddrV4,
    /// The address at which the target receives packets.
    pub backend_address: SocketAddrV4,
    /// The service of the target.
    pub service: ServiceName,
}

impl RelaySettings {
    /// Reads settings from a JSON file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or a field is missing or invalid.
    pub fn from_file(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::SettingsFile {
            file: file.into(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses settings from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is missing or invalid.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = serde_json::from_str(text).map_err(|e| Error::settings(&e))?;
        if settings.peer_ports.0 > settings.peer_ports.1 {
            return Err(Error::settings(
                &"peer_ports: the first port is greater than the last",
            ));
        }
        Ok(settings)
    }

    /// Returns the time that a stopping daemon has before it must exit.
    pub(crate) const fn stop_time(&self) -> Duration {
        self.stop_grace_s.saturating_sub(EXIT_RESERVE)
    }

    /// Returns the IP address of the VM.
    pub const fn ip(&self) -> Ipv4Addr {
        *self.datagram_address.ip()
    }

    /// Returns the address at which a balancer on this VM receives messages of agents.
    pub const fn balancer_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(), self.peer_ports.0)
    }

    /// Returns the addresses at which the seed balancers receive messages of agents.
    pub fn seed_balancers(&self) -> Box<[SocketAddrV4]> {
        let seeds = self.seed_addresses.iter();
        seeds
            .map(|seed| SocketAddrV4::new(*seed.ip(), self.peer_ports.0))
            .collect()
    }
}
