//! What an agent says about its target.

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, ServiceName, VmId};
use crate::units::{ConnectionLimit, Slots};

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
pub struct TargetLoad {
    /// Slots that may be used now, which is fewer than the limit during a cold start.
    pub slots: Slots,
    /// Requests that hold a slot, with slots reserved for requests of peers.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Open connections: of callers or of feeds, whichever are more.
    pub connections: u32,
}

impl From<(u32, u32, u32, u32)> for TargetLoad {
    fn from((slots, running, waiting, connections): (u32, u32, u32, u32)) -> Self {
        Self {
            slots: Slots::new(slots),
            running,
            waiting,
            connections,
        }
    }
}

impl From<TargetLoad> for (u32, u32, u32, u32) {
    fn from(load: TargetLoad) -> Self {
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
    pub connection_limit: ConnectionLimit,
}
