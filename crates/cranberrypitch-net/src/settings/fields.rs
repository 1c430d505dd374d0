//! The tables of settings fields.

use std::net::{Ipv4Addr, SocketAddrV4};

use derive_more::Display;
use log::LevelFilter;
use serde_json::Value;

/// One field of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The name in the settings file.
    pub name: &'static str,
    /// The type and the allowed values.
    pub kind: FieldKind,
    /// Whether it may be left out.
    pub presence: Presence,
}

/// Whether a field may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The field must be given.
    Required,
    /// The field may be left out, which turns its feature off.
    Optional,
    /// The field may be left out and then has this JSON value.
    Default(&'static str),
}

/// The type and range of a field. Its display form describes the allowed values.
#[derive(Clone, Copy, Debug, Display)]
pub enum FieldKind {
    /// A name of a VM, failure domain, region or service.
    #[display("1 to 63 letters, digits, '-', '_' or '.'")]
    Name,
    /// An IPv4 address and port that a process listens on.
    #[display("IPv4 address and port 1 to 65535, as \"10.0.0.1:4000\"")]
    Address,
    /// A list of IPv4 addresses with ports.
    #[display("list of 0 to {max_len} IPv4 addresses with port 1 to 65535")]
    Addresses {
        /// The limit on the number of addresses.
        max_len: usize,
    },
    /// An IPv4 address.
    #[display("IPv4 address, as \"10.0.0.1\"")]
    Ip,
    /// A path of a file.
    #[display("path of a file, 1 to 4096 characters")]
    Path,
    /// A duration in whole milliseconds.
    #[display("{min} to {max} milliseconds")]
    Milliseconds {
        /// The shortest allowed duration, in milliseconds.
        min: u64,
        /// The longest allowed duration, in milliseconds.
        max: u64,
    },
    /// A log level.
    #[display("off, error, warn, info, debug or trace")]
    LogLevel,
}

const MAX_PATH_CHARS: usize = 4096;

impl FieldKind {
    pub(super) fn allows(self, value: &Value) -> bool {
        match self {
            Self::Name => parses::<cranberrypitch_core::VmId>(value),
            Self::Address => is_address(value),
            Self::Addresses { max_len } => value
                .as_array()
                .is_some_and(|list| list.len() <= max_len && list.iter().all(is_address)),
            Self::Ip => parses::<Ipv4Addr>(value),
            Self::Path => value
                .as_str()
                .is_some_and(|path| (1..=MAX_PATH_CHARS).contains(&path.chars().count())),
            Self::Milliseconds { min, max } => value
                .as_u64()
                .is_some_and(|number| (min..=max).contains(&number)),
            Self::LogLevel => parses::<LevelFilter>(value),
        }
    }
}

fn parses<T: std::str::FromStr>(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<T>().is_ok())
}

fn is_address(value: &Value) -> bool {
    let parsed = value.as_str().map(str::parse::<SocketAddrV4>);
    // The address is passed on to other processes, so neither part may be a wildcard.
    matches!(parsed, Some(Ok(address)) if address.port() != 0 && !address.ip().is_unspecified())
}

const fn required(name: &'static str, kind: FieldKind) -> Field {
    Field {
        name,
        kind,
        presence: Presence::Required,
    }
}

const fn optional(name: &'static str, kind: FieldKind) -> Field {
    Field {
        name,
        kind,
        presence: Presence::Optional,
    }
}

const fn defaulted(name: &'static str, kind: FieldKind, json: &'static str) -> Field {
    Field {
        name,
        kind,
        presence: Presence::Default(json),
    }
}

const fn milliseconds(name: &'static str, min: u64, max: u64, default: &'static str) -> Field {
    defaulted(name, FieldKind::Milliseconds { min, max }, default)
}

const SEED_ADDRESSES: FieldKind = FieldKind::Addresses { max_len: 64 };

/// The fields of [`BalancerSettings`](super::BalancerSettings).
pub const BALANCER_FIELDS: &[Field] = &[
    required("vm", FieldKind::Name),
    required("failure_domain", FieldKind::Name),
    required("region", FieldKind::Name),
    required("control_address", FieldKind::Address),
    required("tunnel_address", FieldKind::Address),
    optional("service_ip", FieldKind::Ip),
    required("store_address", FieldKind::Address),
    defaulted("seed_balancers", SEED_ADDRESSES, "[]"),
    required("key_file", FieldKind::Path),
    milliseconds("linger_ms", 100, 60_000, "2000"),
    milliseconds("report_interval_ms", 100, 10_000, "1000"),
    milliseconds("lease_ms", 1_000, 120_000, "10000"),
    milliseconds("lease_renewal_ms", 100, 60_000, "3000"),
    defaulted("log", FieldKind::LogLevel, "\"info\""),
    optional("metrics_address", FieldKind::Address),
];

/// The fields of [`AgentSettings`](super::AgentSettings).
pub const AGENT_FIELDS: &[Field] = &[
    required("vm", FieldKind::Name),
    required("failure_domain", FieldKind::Name),
    required("region", FieldKind::Name),
    required("service", FieldKind::Name),
    required("tunnel_address", FieldKind::Address),
    required("store_address", FieldKind::Address),
    defaulted("seed_balancers", SEED_ADDRESSES, "[]"),
    required("backend_address", FieldKind::Address),
    required("key_file", FieldKind::Path),
    required("certificate_file", FieldKind::Path),
    required("certificate_key_file", FieldKind::Path),
    milliseconds("drain_deadline_ms", 1_000, 86_400_000, "60000"),
    milliseconds("report_interval_ms", 100, 10_000, "1000"),
    milliseconds("idle_timeout_ms", 1_000, 600_000, "30000"),
    milliseconds("keep_alive_ms", 100, 300_000, "5000"),
    defaulted("log", FieldKind::LogLevel, "\"info\""),
    optional("metrics_address", FieldKind::Address),
];
