//! The state, load and properties that an agent reports about its target.

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, ServiceName, VmId};
use crate::units::{ConnectionLimit, Slots};

/// The state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The backend server is not ready yet.
    Starting,
    /// The target accepts new flows.
    Ready,
    /// The target accepts no new flows and finishes existing ones.
    Draining,
    /// The agent has stopped.
    Gone,
}

/// The load of a target at the time of a report. It is serialised as a tuple of its fields in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32, u32)", into = "(u32, u32, u32, u32)")]
pub struct TargetLoad {
    /// The number of slots that may be used; during a cold start it is below the configured number.
    pub slots: Slots,
    /// The number of occupied slots, including those reserved for requests of peers.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The number of open connections of callers or of open feeds, whichever is greater.
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

/// The properties of a target that are constant during one incarnation of its agent.
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
    /// The maximum number of connections.
    #[serde(rename = "c")]
    pub connection_limit: ConnectionLimit,
}
