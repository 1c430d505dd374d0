//! Decisions about flows, as they are recorded.

use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;

use super::message::RefusalCause;
use super::packet::FlowKey;
use crate::ids::{Incarnation, Revision, ServiceName};
use crate::target::TargetState;

/// Why the system reset a flow.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ResetCause {
    /// The configuration has no route for the address.
    #[display("no route")]
    NoRoute,
    /// No target takes the new flow.
    #[display("no target")]
    NoTarget,
    /// The targets have too much to do.
    #[display("overloaded")]
    Overloaded,
    /// The target of the flow is gone.
    #[display("target gone")]
    TargetGone,
    /// The target does not hold the flow any more.
    #[display("flow unknown to target")]
    FlowUnknown,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// No configuration is in force yet.
    #[display("no configuration")]
    NoConfiguration,
    /// The packet can't come from this side.
    #[display("unexpected flags")]
    UnexpectedFlags,
    /// No agent holds the flow.
    #[display("flow not found")]
    FlowNotFound,
    /// Too many packets wait for an answer.
    #[display("waiting packets full")]
    BufferFull,
}

/// A decision about a flow, or a change of what the process believes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FlowEvent {
    /// A balancer sent an opening packet to an agent.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// The service.
        service: ServiceName,
        /// The agent.
        agent: SocketAddrV4,
        /// The attempt, from 1.
        attempt: usize,
        /// The version of the configuration that decided.
        version: Revision,
        /// The age of the load that decided, if any was reported.
        load_age: Option<Duration>,
    },
    /// A balancer found the target of a flow.
    Located {
        /// The flow.
        flow: FlowKey,
        /// The agent.
        agent: SocketAddrV4,
        /// The agents that were asked.
        queried_agents: usize,
        /// The time from the first question to the answer.
        elapsed: Duration,
    },
    /// No agent holds a flow.
    NotLocated {
        /// The flow.
        flow: FlowKey,
        /// The agents that were asked.
        queried_agents: usize,
        /// The agents that did not answer in time.
        unresponsive_agents: usize,
    },
    /// An agent did not open a flow.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// The agent.
        agent: SocketAddrV4,
        /// Why.
        cause: RefusalCause,
    },
    /// An agent left an opening packet unanswered.
    Unanswered {
        /// The flow.
        flow: FlowKey,
        /// The agent.
        agent: SocketAddrV4,
    },
    /// An agent passed the first packet of a request to its target.
    RequestPassed {
        /// The flow.
        flow: FlowKey,
        /// The balancer that the packet came from.
        balancer: SocketAddrV4,
        /// Requests that the target has, this one included.
        running_requests: u16,
    },
    /// A target sent the first packet of an answer.
    RequestAnswered {
        /// The flow.
        flow: FlowKey,
        /// The time since the first packet of the request.
        elapsed: Duration,
    },
    /// The system reset a flow.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Why.
        cause: ResetCause,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// Why.
        cause: DropCause,
    },
    /// A configuration came into force.
    ConfigurationInForce {
        /// The version.
        version: Revision,
        /// The number of routes.
        route_count: usize,
    },
    /// An older configuration was offered.
    ConfigurationStale {
        /// The version offered.
        version: Revision,
    },
    /// A target was added or its state changed.
    TargetChanged {
        /// The agent.
        agent: SocketAddrV4,
        /// The service.
        service: ServiceName,
        /// The run of the target.
        incarnation: Incarnation,
        /// Its state.
        state: TargetState,
    },
    /// A target was given up.
    TargetGone {
        /// The agent.
        agent: SocketAddrV4,
    },
}
