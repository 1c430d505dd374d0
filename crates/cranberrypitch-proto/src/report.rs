//! Load reports of agents and the answers of balancers.

pub use cranberrypitch_core::target::{Announcement, TargetLoad, TargetState};
use std::net::SocketAddrV4;

use cranberrypitch_core::{FailureDomain, Incarnation, Revision};
use serde::{Deserialize, Serialize};

use crate::cbor;
use crate::errors::Result;

const MAX_REPORT_BYTES: usize = 1024;

/// An agent's report to a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's incarnation; a report of an older one is ignored.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The number of the report; an older one is ignored.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// The state of the target.
    #[serde(rename = "t")]
    pub state: TargetState,
    /// The configuration in force at the agent.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The load.
    #[serde(rename = "l")]
    pub load: TargetLoad,
    /// The announcement, left out once the balancer has acknowledged it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub announcement: Option<Announcement>,
}

impl Report {
    /// Encodes the report.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("report", self)
    }

    /// Decodes a report.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("report", bytes, MAX_REPORT_BYTES)
    }
}

/// A balancer's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAck {
    /// The incarnation of the agent that reported.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The number of the report.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether the balancer holds the agent's announcement.
    #[serde(rename = "a")]
    pub has_announcement: bool,
    /// The configuration in force at the balancer.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Addresses that the agent needs, sent with some answers only.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub hints: Option<AckHints>,
}

/// Addresses that an agent learns from a balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckHints {
    /// Some agents of the same service, by their tunnel addresses.
    #[serde(rename = "p")]
    pub peers: Vec<SocketAddrV4>,
    /// Some live balancers, the sender among them.
    #[serde(rename = "b")]
    pub balancers: Vec<BalancerHint>,
}

/// A live balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerHint {
    /// Where it receives tunnel datagrams.
    #[serde(rename = "t")]
    pub tunnel_address: SocketAddrV4,
    /// Where it serves control sessions, if it does.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub control_address: Option<SocketAddrV4>,
    /// Its failure domain.
    #[serde(rename = "f")]
    pub failure_domain: FailureDomain,
}

impl ReportAck {
    /// Encodes the answer.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("report answer", self)
    }

    /// Decodes an answer.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("report answer", bytes, MAX_REPORT_BYTES)
    }
}
