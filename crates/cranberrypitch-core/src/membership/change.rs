//! Changes of the targets of a balancer.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::{Incarnation, ServiceName, VmId};

/// A change of the set of targets or of their liveness.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum TargetChange {
    /// An agent has announced itself at a new address.
    Joined {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
        /// The address at which the agent receives tunnel datagrams.
        address: SocketAddrV4,
        /// The agent's incarnation.
        incarnation: Incarnation,
    },
    /// An agent has announced itself with a new incarnation at an address in use.
    Restarted {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// An agent has reported that it has stopped.
    Left {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
    },
    /// A target has become silent: its reports are overdue and it does not answer on the traffic
    /// path.
    Silent {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
        /// The time since its last report.
        silent_for: Duration,
    },
    /// A silent target has reported again.
    Recovered {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
    },
    /// A service has entered self-preservation: most of its targets are silent, and its last known
    /// targets stay candidates.
    SelfPreservation {
        /// The service.
        service: ServiceName,
        /// The number of silent targets.
        silent: usize,
        /// The number of all targets.
        total: usize,
    },
}
