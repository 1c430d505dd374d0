//! Events that balancers and agents write to the log and count in metrics.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::cause::{DropCause, IgnoredReportCause, RefusalCause, ResetCause, ResetEvidenceKind};
use super::evacuation::state::EvacuationVersion;
use super::flow_view::FlowView;
use super::packet::FlowKey;
use super::selection::{EjectionCause, OutlierChange};
use crate::ids::{FailureDomain, Incarnation, Revision, ServiceName};
use crate::target::TargetState;

/// An event of a flow, a target or the configuration. The variants are named like the log events.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FlowEvent {
    /// A balancer sent a SYN to the agent that it selected.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// The service that the route selected.
        service: ServiceName,
        /// The selected agent.
        agent: SocketAddrV4,
        /// The number of the attempt for this flow, from 1.
        attempt: usize,
        /// The version of the configuration in force.
        version: Revision,
        /// The age of the agent's last load report, or none before the first one.
        load_age: Option<Duration>,
    },
    /// A lookup found the agent whose target holds a flow.
    Located {
        /// The flow.
        flow: FlowKey,
        /// The agent whose target holds the flow.
        agent: SocketAddrV4,
        /// The number of agents that were queried.
        queried_agents: usize,
        /// The time since the lookup began.
        elapsed: Duration,
    },
    /// A lookup ended without an agent that holds the flow.
    NotLocated {
        /// The flow.
        flow: FlowKey,
        /// The number of agents that were queried.
        queried_agents: usize,
        /// The number of queried agents that did not reply in time.
        unresponsive_agents: usize,
        /// The number of agents whose records in the store exclude the flow.
        excluding_agents: usize,
        /// The one of them that has sent nothing for the longest time, with that time.
        longest_silent: Option<(SocketAddrV4, Duration)>,
        /// The time since the lookup began.
        elapsed: Duration,
    },
    /// An agent answered that its target does not hold a flow that it has an entry for: the caller acknowledges
    /// a number that the target did not send.
    NotHeld {
        /// The flow.
        flow: FlowKey,
        /// The number that the caller acknowledges.
        ack_number: u32,
        /// The number of the target's SYN-ACK.
        first_seq: u32,
        /// The number after the last byte that the agent has seen of the target.
        next_seq: u32,
        /// Which part of the flow the agent has seen.
        view: FlowView,
    },
    /// An agent refused to open a flow.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// The agent that refused.
        agent: SocketAddrV4,
        /// The reason for the refusal.
        cause: RefusalCause,
    },
    /// An agent declined or queued a SYN, as its target is slow after its start and has got as many requests
    /// as it bears.
    WarmupLimited {
        /// The flow.
        flow: FlowKey,
        /// The number of requests that the target got in the last second.
        passed_requests: u32,
        /// The number that it may get; 0 before the first status report.
        limit: u32,
    },
    /// An agent did not reply to a SYN within the timeout.
    Unanswered {
        /// The flow.
        flow: FlowKey,
        /// The agent that did not reply.
        agent: SocketAddrV4,
    },
    /// An agent passed the first SYN of a flow to its target.
    SynPassed {
        /// The flow.
        flow: FlowKey,
        /// The balancer that sent the SYN.
        balancer: SocketAddrV4,
        /// The service that the SYN was sent for, which is the one that the target reports.
        service: ServiceName,
        /// The id and the start of the target's process, in milliseconds of Unix time, from its last status
        /// report; none before the first one.
        target: Option<(Box<str>, u64)>,
    },
    /// An agent passed the first packet of a request to its target.
    RequestPassed {
        /// The flow.
        flow: FlowKey,
        /// The balancer that forwarded the packet.
        balancer: SocketAddrV4,
        /// The number of requests that the target has not responded to, including this one.
        running_requests: u16,
    },
    /// An agent dropped a waiting request of an open flow that could no longer be answered before its
    /// timeout.
    RequestTimedOut {
        /// The flow.
        flow: FlowKey,
        /// The time for which the request waited at the agent.
        waited: Duration,
    },
    /// A target sent the first packet of a response.
    RequestAnswered {
        /// The flow.
        flow: FlowKey,
        /// The time since the first packet of the request.
        elapsed: Duration,
    },
    /// A balancer or an agent reset a flow.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// The reason for the reset.
        cause: ResetCause,
        /// What shows that the flow is not open.
        evidence: ResetEvidenceKind,
        /// The time from the packet or the last query to the read of the store that shows it; none for
        /// evidence that is not from the store.
        read_after: Option<Duration>,
    },
    /// A balancer or an agent dropped a packet.
    Dropped {
        /// The flow of the packet.
        flow: FlowKey,
        /// The reason for the drop.
        cause: DropCause,
    },
    /// A balancer applied a configuration.
    ConfigurationInForce {
        /// The version of the configuration.
        version: Revision,
        /// The number of routes.
        route_count: usize,
    },
    /// A balancer ignored a configuration that is older than the one in force.
    ConfigurationStale {
        /// The version of the ignored configuration.
        version: Revision,
    },
    /// A balancer places no new flows in a failure domain, as it is evacuated.
    EvacuationInForce {
        /// The failure domain.
        failure_domain: FailureDomain,
        /// The version of the set of evacuated failure domains.
        version: EvacuationVersion,
        /// The number of agents in the failure domain that the balancer knows.
        agent_count: usize,
    },
    /// A balancer places new flows again in a failure domain whose evacuation ended.
    EvacuationEnded {
        /// The failure domain.
        failure_domain: FailureDomain,
        /// The version of the set of evacuated failure domains.
        version: EvacuationVersion,
    },
    /// A target was added, or its state, slots or process changed.
    TargetChanged {
        /// The agent of the target.
        agent: SocketAddrV4,
        /// The service of the target.
        service: ServiceName,
        /// The incarnation of the agent.
        incarnation: Incarnation,
        /// The state of the target.
        state: TargetState,
    },
    /// No process had the address of the target after the start of its agent, so no earlier flow is open there.
    TargetAbsent {
        /// The agent.
        agent: SocketAddrV4,
    },
    /// An agent takes another process for its target than before.
    TargetReported {
        /// The id of the target.
        id: Box<str>,
        /// The start of the process, in milliseconds of Unix time.
        started_unix_ms: u64,
        /// The service that the process serves.
        service: ServiceName,
        /// Whether a second report has confirmed the process.
        is_confirmed: bool,
    },
    /// An agent ignored a status report, which may be late or of another writer.
    StatusReportIgnored {
        /// The id of the target in the report.
        id: Box<str>,
        /// The start of the target in the report, in milliseconds of Unix time.
        started_unix_ms: u64,
        /// The sequence number of the report.
        sequence: u64,
        /// The reason.
        cause: IgnoredReportCause,
    },
    /// A balancer gives a target no new flows for a time, because it fails or is slow.
    TargetEjected {
        /// The agent of the target.
        agent: SocketAddrV4,
        /// The reason.
        cause: EjectionCause,
        /// The time until the trial of the target.
        duration: Duration,
    },
    /// A balancer gives a target flows as before its ejection.
    TargetReadmitted {
        /// The agent of the target.
        agent: SocketAddrV4,
    },
    /// A balancer removed an agent whose registration ended and whose reports stopped.
    TargetGone {
        /// The agent of the target.
        agent: SocketAddrV4,
    },
}

impl From<OutlierChange> for FlowEvent {
    fn from(change: OutlierChange) -> Self {
        match change {
            OutlierChange::Ejected {
                agent,
                cause,
                duration,
            } => Self::TargetEjected {
                agent,
                cause,
                duration,
            },
            OutlierChange::Readmitted { agent } => Self::TargetReadmitted { agent },
        }
    }
}
