//! The causes of refusals, resets and drops.

use derive_more::Display;

/// Why an agent refuses to open a flow. The target has not executed any request of the flow.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The target does not serve the service of the flow.
    #[display("other service")]
    OtherService,
    /// The target or its agent is draining or stopping.
    #[display("draining")]
    Draining,
    /// The target has not sent a status report within the status timeout.
    #[display("target silent")]
    TargetSilent,
    /// The target returned the SYN.
    #[display("target full")]
    TargetFull,
    /// The target runs clearly more requests than the balancer expects, so the balancer should select
    /// again from the latest reports.
    #[display("busier than expected")]
    BusierThanExpected,
    /// The SYN timed out in the backlog of the agent or is expected to, or the backlog is full.
    #[display("overloaded")]
    Overloaded,
    /// The failure domain of the agent is evacuated.
    #[display("evacuated")]
    Evacuated,
}

/// Why an agent ignored a status report.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum IgnoredReportCause {
    /// The target would have started in the future.
    #[display("start in the future")]
    FutureStart,
    /// The report is not newer than the last one, or too far ahead of it.
    #[display("out of order")]
    OutOfOrder,
    /// The report is of a later process, and the present one may still go on.
    #[display("unconfirmed process")]
    Unconfirmed,
}

/// Why a balancer or an agent reset a flow.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ResetCause {
    /// The configuration has no route for the destination address, or the route has no backend with
    /// a weight.
    #[display("no route")]
    NoRoute,
    /// No target accepts new flows for the service.
    #[display("no target")]
    NoTarget,
    /// The SYN timed out in the backlog of a busy target, or the backlog was full.
    #[display("overloaded")]
    Overloaded,
    /// All targets that accept new flows for the service are in evacuated failure domains.
    #[display("evacuated")]
    Evacuated,
    /// The target of the flow has exited.
    #[display("target gone")]
    TargetGone,
    /// The target, or every agent that was queried, does not hold the flow.
    #[display("flow unknown to target")]
    FlowUnknown,
}

/// What shows that a flow which is reset is not open, or no longer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ResetEvidenceKind {
    /// All transmissions of the SYN came to this balancer, which has not opened the flow.
    #[display("first SYN")]
    FirstSyn,
    /// A configuration without the route, read from the store after the packet arrived.
    #[display("configuration")]
    Configuration,
    /// No agent holds the flow, by a list that was read from the store after the last query.
    #[display("agent list")]
    AgentList,
    /// The target that accepted the flow returned the packet.
    #[display("returned packet")]
    ReturnedPacket,
    /// The process of the target that accepted the flow has ended.
    #[display("process ended")]
    ProcessEnded,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// No configuration or no agent list has been received, and the buffer for early packets is full.
    #[display("no configuration")]
    NoConfiguration,
    /// The flags don't fit the sender or the message, such as a SYN-ACK from a caller.
    #[display("unexpected flags")]
    UnexpectedFlags,
    /// No agent that holds the flow has been found, or the target returned a packet of a flow that its
    /// agent has no entry for.
    #[display("flow not found")]
    FlowNotFound,
    /// The flow already has the maximum number of packets buffered while its agent or its route is being
    /// looked up, or while its request waits at the agent.
    #[display("waiting packets full")]
    BufferFull,
    /// The configuration in force has no route for the flow, and the store could not be read in time to
    /// show whether the route was dropped or is new.
    #[display("route unknown")]
    RouteUnknown,
    /// The balancer stood still for as long as callers try to open a flow, so the caller of the SYN may have opened it
    /// elsewhere or given up.
    #[display("SYN outdated")]
    SynOutdated,
    /// An earlier request of the flow was given up while it waited at the agent.
    #[display("request given up")]
    RequestTimedOut,
}
