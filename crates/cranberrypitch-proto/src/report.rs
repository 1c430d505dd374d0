//! The load reports of agents and their acknowledgements by balancers.

pub use cranberrypitch_core::target::{Announcement, TargetLoad, TargetState};
use std::net::SocketAddrV4;

use cranberrypitch_core::{FailureDomain, Incarnation, Revision};
use serde::{Deserialize, Serialize};

use crate::cbor;
use crate::errors::Result;

/// The maximum length of a report or an acknowledgement.
const MAX_REPORT_BYTES: usize = 1024;

/// An agent's report to a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's incarnation; reports of an older incarnation are ignored.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The sequence number of the report; older reports are ignored.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// The state of the target.
    #[serde(rename = "t")]
    pub state: TargetState,
    /// The revision of the configuration in force at the agent.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The load of the target.
    #[serde(rename = "l")]
    pub load: TargetLoad,
    /// The agent's announcement, left out once the balancer has acknowledged it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub announcement: Option<Announcement>,
}

impl Report {
    /// Encodes the report as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("report", self)
    }

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the report is malformed or longer than 1 KiB.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("report", bytes, MAX_REPORT_BYTES)
    }
}

/// A balancer's acknowledgement of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAck {
    /// The incarnation in the report.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The sequence number of the report.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether the balancer has received the agent's announcement.
    #[serde(rename = "a")]
    pub has_announcement: bool,
    /// The revision of the configuration in force at the balancer.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Addresses of other agents and balancers, sent only with some acknowledgements.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub hints: Option<AckHints>,
}

/// Addresses of agents and balancers that a balancer sends to an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckHints {
    /// The tunnel addresses of some agents of the same service.
    #[serde(rename = "p")]
    pub peers: Vec<SocketAddrV4>,
    /// Some live balancers, including the sender.
    #[serde(rename = "b")]
    pub balancers: Vec<BalancerHint>,
}

/// The addresses and failure domain of a live balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerHint {
    /// The address at which it receives tunnel datagrams.
    #[serde(rename = "t")]
    pub tunnel_address: SocketAddrV4,
    /// The address at which it serves control sessions, if it serves any.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub control_address: Option<SocketAddrV4>,
    /// The failure domain of its VM.
    #[serde(rename = "f")]
    pub failure_domain: FailureDomain,
}

impl ReportAck {
    /// Encodes the acknowledgement as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("report acknowledgement", self)
    }

    /// Decodes an acknowledgement.
    ///
    /// # Errors
    ///
    /// Returns an error if it is malformed or longer than 1 KiB.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("report acknowledgement", bytes, MAX_REPORT_BYTES)
    }
}
