//! Messages between balancers and agents, and the actions that their state machines return.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use derive_more::Display;

use super::cause::{DropCause, RefusalCause};
use super::config_reads::ConfigCheck;
use super::directory::AgentRecord;
use super::evacuation::state::{EvacuationSet, EvacuationVersion};
use super::event::FlowEvent;
use super::load::AgentLoad;
use super::packet::{FlowKey, PacketHeader, Reset};
use super::reset_evidence::ResetEvidence;
use super::routes::RequestLimits;
use crate::ids::ServiceTag;
use crate::units::RequestRate;

/// The answer of an agent to a flow lookup.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum LookupAnswer {
    /// The target holds the flow, or held it before a restart and the agent will reset it.
    #[display("held")]
    Held,
    /// The target does not hold the flow.
    #[display("not held")]
    NotHeld,
    /// The agent started after its target, which may hold flows that the agent has not seen.
    #[display("may be held")]
    MayBeHeld,
}

/// The parameters of a request to open a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenParams {
    /// The tag of the service that the flow is opened for.
    pub service: ServiceTag,
    /// The priority in the backlog of a busy target; 0 is the highest.
    pub priority: u8,
    /// The number of requests that the balancer expects the target to run. An agent whose target runs
    /// clearly more declines the flow; if none, the agent must not decline it for load.
    pub expected_requests: Option<u16>,
    /// The time limits of the requests of the flow.
    pub limits: RequestLimits,
    /// The rate of requests that the target can take while it is slow after its start; none without a limit.
    pub warmup_rate: Option<RequestRate>,
}

/// A query whether a target holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// The flow.
    pub flow: FlowKey,
    /// The acknowledgement number of the caller's packet, as in [`Message::Lookup`].
    pub ack_number: u32,
}

/// A message between balancers and agents, or between agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    /// Balancer to agent: requests to open a flow.
    Open {
        /// The parameters of the flow.
        params: OpenParams,
        /// The SYN.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to agent: forwards a packet of a flow other than its SYN.
    Forward {
        /// The caller's packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to agent: queries whether the target holds a flow.
    Lookup {
        /// The flow.
        flow: FlowKey,
        /// The acknowledgement number of the caller's packet. It distinguishes a flow of this target
        /// from one that another target accepted after a retransmission of the SYN.
        ack_number: u32,
    },
    /// Balancer to agent: queries which of several flows the target holds.
    LookupBatch(Box<[LookupQuery]>),
    /// Agent to balancer: the answers to a [`Message::LookupBatch`].
    LookupBatchReply(Box<[(FlowKey, LookupAnswer)]>),
    /// Agent to balancer: the target accepted a flow or is presumed to hold it.
    OpenAccepted {
        /// The accepted flow.
        flow: FlowKey,
    },
    /// Agent to balancer: the SYN is in the backlog until the target has a free slot.
    OpenQueued {
        /// The queued flow.
        flow: FlowKey,
    },
    /// Agent to balancer: the flow was not opened.
    OpenRefused {
        /// The refused flow.
        flow: FlowKey,
        /// The reason for the refusal.
        cause: RefusalCause,
    },
    /// Agent to balancer: the answer to a [`Message::Lookup`].
    LookupReply {
        /// The queried flow.
        flow: FlowKey,
        /// Whether the target holds the flow.
        answer: LookupAnswer,
    },
    /// Agent to balancer: returns a forwarded packet of a flow that the target does not hold.
    PacketReturned {
        /// The returned packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to an agent that the store does not list: the addresses of other agents, which the
    /// agent queries for balancers.
    AgentList(Box<[SocketAddrV4]>),
    /// Agent to agent: requests the addresses of the balancers that the receiver reports to.
    BalancerQuery,
    /// Agent to agent: the addresses of the balancers that the sender reports to.
    BalancerList(Box<[SocketAddrV4]>),
    /// Agent to balancer: reports the state and the load of the target, also as a heartbeat.
    Report {
        /// The agent and the state of its target.
        record: AgentRecord,
        /// The load of the target.
        load: AgentLoad,
        /// The version of the agent's set of evacuated failure domains.
        evacuations: EvacuationVersion,
    },
    /// Balancer to agent to the other balancers that the agent knows: a check of the configuration in
    /// the store.
    ConfigCheck {
        /// The check.
        check: ConfigCheck,
        /// The evacuations in force at the balancer that checked.
        evacuations: EvacuationSet,
    },
    /// Balancer to agent: the evacuations in force.
    Evacuations(EvacuationSet),
}

impl Message<'_> {
    /// Returns a [`Message::Lookup`] for the flow of a caller's packet.
    pub(crate) const fn lookup(header: &PacketHeader) -> Self {
        Self::Lookup {
            flow: header.flow_from_caller(),
            ack_number: header.ack_number,
        }
    }
}

/// An action that the caller of [`Dispatcher`](super::Dispatcher) or [`FlowAgent`](super::FlowAgent)
/// has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// Send a message to a balancer or an agent.
    Send {
        /// The address of the balancer or agent.
        peer: SocketAddrV4,
        /// The message.
        message: Message<'a>,
    },
    /// Pass a packet to the target.
    SendToTarget(Cow<'a, [u8]>),
    /// Pass a packet to a caller.
    SendToCaller {
        /// The address and port of the caller.
        caller: SocketAddrV4,
        /// The packet.
        packet: Cow<'a, [u8]>,
    },
    /// Send a reset to the caller of a flow.
    Reset(Reset),
    /// Read the changes of the agent list from the store now, and call
    /// [`Dispatcher::on_agents_refreshed`](super::Dispatcher::on_agents_refreshed) once they are
    /// applied.
    RefreshAgents,
    /// Read the configuration from the store now, and call
    /// [`Dispatcher::on_config_read`](super::Dispatcher::on_config_read) once it is applied.
    CheckConfig,
    /// Write an event to the log and count it in the metrics.
    RecordEvent(FlowEvent),
}

impl<'a> Action<'a> {
    pub(crate) const fn send(peer: SocketAddrV4, message: Message<'a>) -> Self {
        Self::Send { peer, message }
    }
}

/// Returns the actions for a dropped packet.
pub(super) fn dropped<'a>(flow: FlowKey, cause: DropCause) -> Vec<Action<'a>> {
    vec![Action::RecordEvent(FlowEvent::Dropped { flow, cause })]
}

/// Returns the actions that reset the flow of a caller's packet.
pub(super) fn reset<'a>(header: &PacketHeader, evidence: ResetEvidence) -> Vec<Action<'a>> {
    let flow = header.flow_from_caller();
    vec![
        Action::RecordEvent(evidence.reset_event(flow)),
        Action::Reset(Reset::in_reply_to(header)),
    ]
}
