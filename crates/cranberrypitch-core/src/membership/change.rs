//! What a balancer tells about the targets it knows.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::{Incarnation, ServiceName, VmId};

/// A change of the known targets.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum TargetChange {
    /// An agent announced itself on an address that was not known.
    Joined {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
        /// Where the agent receives tunnel datagrams.
        address: SocketAddrV4,
        /// The agent's incarnation.
        incarnation: Incarnation,
    },
    /// An agent announced itself with a new incarnation on a known address.
    Restarted {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// An agent said that it is gone.
    Left {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
    },
    /// A target became silent.
    Silent {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
        /// The time since its last report.
        silent_for: Duration,
    },
    /// A silent target reports again.
    Recovered {
        /// The VM.
        vm: VmId,
        /// The service.
        service: ServiceName,
    },
    /// Most targets of a service are silent, and the last known set is kept.
    SelfPreservation {
        /// The service.
        service: ServiceName,
        /// The silent targets.
        silent: usize,
        /// All known targets.
        total: usize,
    },
}
