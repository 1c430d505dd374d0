//! Load reports of agents and the answers of balancers.

use cranberrypitch_core::{
    ConnectionLimit, FailureDomain, Incarnation, Revision, ServiceName, Slots, VmId,
};
use serde::{Deserialize, Serialize};

use crate::cbor;
use crate::errors::Result;

const MAX_REPORT_BYTES: usize = 1024;

/// The state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The backend server is not ready yet.
    Starting,
    /// New flows may be placed.
    Ready,
    /// No new flow may be placed; running ones finish.
    Draining,
    /// The agent has stopped.
    Gone,
}

/// The load of a target at the time of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32, u32)", into = "(u32, u32, u32, u32)")]
pub struct Load {
    /// Slots that may be used now, which is fewer than the limit during a cold start.
    pub slots: Slots,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Open connections.
    pub connections: u32,
}

impl From<(u32, u32, u32, u32)> for Load {
    fn from((slots, running, waiting, connections): (u32, u32, u32, u32)) -> Self {
        Self {
            slots: Slots::new(slots),
            running,
            waiting,
            connections,
        }
    }
}

impl From<Load> for (u32, u32, u32, u32) {
    fn from(load: Load) -> Self {
        (
            load.slots.get(),
            load.running,
            load.waiting,
            load.connections,
        )
    }
}

/// What stays the same during one run of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The VM of the agent and its backend server.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// The failure domain of the VM.
    #[serde(rename = "f")]
    pub failure_domain: FailureDomain,
    /// The service that the backend server serves.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The limit of connections.
    #[serde(rename = "c")]
    pub connections_max: ConnectionLimit,
}

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
    pub load: Load,
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAck {
    /// The incarnation of the agent that reported.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The number of the report.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether the balancer holds the agent's announcement.
    #[serde(rename = "a")]
    pub announced: bool,
    /// The configuration in force at the balancer.
    #[serde(rename = "r")]
    pub revision: Revision,
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
