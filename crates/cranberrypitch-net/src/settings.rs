//! Settings of the daemons, read from JSON files.
//!
//! A table for each daemon lists its fields with their ranges and defaults. A file is checked against
//! the table before it is deserialised, so that all its problems are reported together.
//! `docs/settings.md` describes the fields.

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
    /// The name of the VM that the balancer runs on.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain.
    pub region: Region,
    /// The TCP address on which the balancer serves control sessions.
    pub control_address: SocketAddrV4,
    /// The UDP address on which the balancer receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
    /// The IP address on which service ports are bound, instead of each service's own address.
    pub service_ip: Option<Ipv4Addr>,
    /// The address of the platform store.
    pub store_address: SocketAddrV4,
    /// The control addresses of balancers to fetch the configuration from while the store is down.
    pub seed_balancers: Vec<SocketAddrV4>,
    /// The path of the key file.
    pub key_file: Box<Path>,
    /// The time for which a balancer keeps forwarding during its shutdown.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub linger_ms: Duration,
    /// The longest interval between two reports of an agent. An agent that misses three reports
    /// counts as silent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub report_interval_ms: Duration,
    /// The time after which the balancer's lease lapses unless it is renewed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_ms: Duration,
    /// The time between two renewals of the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_renewal_ms: Duration,
    /// The least severe log level that is written.
    #[serde_as(as = "DisplayFromStr")]
    pub log: LevelFilter,
    /// The UDP address that metrics are sent to; none are sent without it.
    pub metrics_address: Option<SocketAddrV4>,
}

impl BalancerSettings {
    /// Reads and checks a settings file.
    pub fn read(file: &Path) -> Result<Self> {
        Self::parse(file, &check::read_text(file)?)
    }

    /// Reads and checks settings from a text; `file` is named in error messages and is not read.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        parse(file, text, BALANCER_FIELDS, &check::check_lease_renewal)
    }

    /// Returns an error that lists all listen addresses that can't be bound.
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
    /// The name of the VM that the agent and its backend server run on.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain.
    pub region: Region,
    /// The service that the backend server provides.
    pub service: ServiceName,
    /// The UDP address on which the agent receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
    /// The address of the platform store.
    pub store_address: SocketAddrV4,
    /// The control addresses of balancers to fetch the configuration from while the store is down.
    pub seed_balancers: Vec<SocketAddrV4>,
    /// The HTTP address of the backend server.
    pub backend_address: SocketAddrV4,
    /// The path of the key file.
    pub key_file: Box<Path>,
    /// The path of the certificate chain that callers verify, in PEM.
    pub certificate_file: Box<Path>,
    /// The path of the private key of the certificate, in PEM.
    pub certificate_key_file: Box<Path>,
    /// The time limit of a drain, which waits for running requests and feeds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain_deadline_ms: Duration,
    /// The interval between two reports while nothing changes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub report_interval_ms: Duration,
    /// The time without a packet from a caller after which its connection ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout_ms: Duration,
    /// The time without a packet to a caller after which a keep-alive packet is sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep_alive_ms: Duration,
    /// The least severe log level that is written.
    #[serde_as(as = "DisplayFromStr")]
    pub log: LevelFilter,
    /// The UDP address that metrics are sent to; none are sent without it.
    pub metrics_address: Option<SocketAddrV4>,
}

impl AgentSettings {
    /// Reads and checks a settings file.
    pub fn read(file: &Path) -> Result<Self> {
        Self::parse(file, &check::read_text(file)?)
    }

    /// Reads and checks settings from a text; `file` is named in error messages and is not read.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        parse(file, text, AGENT_FIELDS, &check::check_keep_alive)
    }

    /// Returns an error that lists all listen addresses that can't be bound.
    pub fn check_addresses(&self, file: &Path) -> Result<()> {
        let udp = check_udp(file, "tunnel_address", self.tunnel_address);
        Problems::check(udp.into_iter().collect())
    }
}

/// Returns the error for an address of a settings file that can't be bound.
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
    rule: &check::CrossFieldRule,
) -> Result<T> {
    let value = check::check_text(file, text, fields, rule)?;
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
