//! Settings of the daemons, read from JSON files.
//!
//! A table lists the fields of each daemon with their ranges and defaults. A file is checked
//! against the table first, so all its problems are reported together. `docs/settings.md`
//! describes the fields.

mod check;
mod fields;

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::Path;
use std::time::Duration;

use cranberrypitch_core::{FailureDomain, Region, ServiceName, VmId};
use log::LevelFilter;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, serde_as};

use crate::errors::{Error, Problem, ProblemKind, Problems, Result};
pub use crate::settings::fields::{AGENT_FIELDS, BALANCER_FIELDS, Field, FieldKind, Presence};

/// The settings of a balancer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// The VM of the balancer.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain.
    pub region: Region,
    /// Where the balancer serves control sessions, over TCP.
    pub control_address: SocketAddrV4,
    /// Where the balancer receives tunnel datagrams, over UDP.
    pub tunnel_address: SocketAddrV4,
    /// The IP on which service ports are bound, in place of each service's own address.
    pub service_ip: Option<Ipv4Addr>,
    /// Where the platform store serves.
    pub store_address: SocketAddrV4,
    /// Control addresses of balancers to learn from while the store is down.
    pub seed_balancers: Vec<SocketAddrV4>,
    /// The key file.
    pub key_file: Box<Path>,
    /// How long a leaving balancer goes on forwarding.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub linger_ms: Duration,
    /// The longest time between two reports of an agent; three missed ones count as silence.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub report_interval_ms: Duration,
    /// The time after which the balancer's lease lapses without renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_ms: Duration,
    /// The time between two renewals of the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_renewal_ms: Duration,
    /// The least severe level that is logged.
    #[serde_as(as = "DisplayFromStr")]
    pub log: LevelFilter,
    /// Where metrics are sent, over UDP.
    pub metrics_address: Option<SocketAddrV4>,
}

impl BalancerSettings {
    /// Reads settings from a file.
    pub fn read(file: &Path) -> Result<Self> {
        Self::parse(file, &check::read_text(file)?)
    }

    /// Reads settings from a text; `file` is the name for error messages.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        parse(file, text, BALANCER_FIELDS, &check::balancer_rules)
    }

    /// Reports the listening addresses that can't be bound now, all together.
    pub fn check_addresses(&self, file: &Path) -> Result<()> {
        let tcp = check_tcp(file, "control_address", self.control_address);
        let udp = check_udp(file, "tunnel_address", self.tunnel_address);
        Problems::check(tcp.into_iter().chain(udp).collect())
    }
}

/// The settings of an agent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The VM of the agent and its backend server.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain.
    pub region: Region,
    /// The service that the backend server serves.
    pub service: ServiceName,
    /// Where the agent receives tunnel datagrams, over UDP.
    pub tunnel_address: SocketAddrV4,
    /// Where the platform store serves.
    pub store_address: SocketAddrV4,
    /// Control addresses of balancers to learn from while the store is down.
    pub seed_balancers: Vec<SocketAddrV4>,
    /// Where the backend server serves HTTP.
    pub backend_address: SocketAddrV4,
    /// The key file.
    pub key_file: Box<Path>,
    /// The certificate chain that callers verify, as PEM.
    pub certificate_file: Box<Path>,
    /// The private key of the certificate, as PEM.
    pub certificate_key_file: Box<Path>,
    /// How long a drain waits for what is running.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain_deadline_ms: Duration,
    /// The time between two reports when nothing changes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub report_interval_ms: Duration,
    /// A caller's connection ends after this time without a packet from it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout_ms: Duration,
    /// A packet is sent on a caller's connection after this time without one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep_alive_ms: Duration,
    /// The least severe level that is logged.
    #[serde_as(as = "DisplayFromStr")]
    pub log: LevelFilter,
    /// Where metrics are sent, over UDP.
    pub metrics_address: Option<SocketAddrV4>,
}

impl AgentSettings {
    /// Reads settings from a file.
    pub fn read(file: &Path) -> Result<Self> {
        Self::parse(file, &check::read_text(file)?)
    }

    /// Reads settings from a text; `file` is the name for error messages.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        parse(file, text, AGENT_FIELDS, &check::agent_rules)
    }

    /// Reports the listening addresses that can't be bound now, all together.
    pub fn check_addresses(&self, file: &Path) -> Result<()> {
        let udp = check_udp(file, "tunnel_address", self.tunnel_address);
        Problems::check(udp.into_iter().collect())
    }
}

/// Returns the refusal of an address that could not be bound.
pub fn bind_error(
    file: &Path,
    field: &str,
    address: SocketAddrV4,
    error: &std::io::Error,
) -> Error {
    Error::invalid_file(Problem::new(
        file,
        field,
        ProblemKind::bind_failed(address, error),
    ))
}

fn parse<T: DeserializeOwned>(
    file: &Path,
    text: &str,
    fields: &[Field],
    rules: &check::Rules,
) -> Result<T> {
    let value = check::check_text(file, text, fields, rules)?;
    let parsed = serde_json::from_value(value);
    parsed.map_err(|e| Error::invalid_file(Problem::new(file, "", ProblemKind::not_json(&e))))
}

fn check_tcp(file: &Path, field: &str, address: SocketAddrV4) -> Option<Problem> {
    let error = TcpListener::bind(address).err()?;
    Some(Problem::new(
        file,
        field,
        ProblemKind::bind_failed(address, &error),
    ))
}

fn check_udp(file: &Path, field: &str, address: SocketAddrV4) -> Option<Problem> {
    let error = UdpSocket::bind(address).err()?;
    Some(Problem::new(
        file,
        field,
        ProblemKind::bind_failed(address, &error),
    ))
}
