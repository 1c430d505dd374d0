//! Messages between balancers and agents, and the actions that decisions lead to.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use derive_more::Display;

use super::directory::AgentRecord;
use super::event::{DropCause, FlowEvent, ResetCause};
use super::load::AgentLoad;
use super::packet::{FlowKey, PacketHeader, Reset};
use crate::ids::ServiceTag;

/// Why an agent does not open a flow. Its target has not run anything of it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The target serves another service now.
    #[display("other service")]
    OtherService,
    /// The target leaves.
    #[display("draining")]
    Draining,
    /// The target has not reported for too long.
    #[display("target silent")]
    TargetSilent,
    /// The target returned the packet.
    #[display("target full")]
    TargetFull,
    /// The target runs more requests than the balancer expected.
    #[display("busier than expected")]
    BusierThanExpected,
    /// The opening packet waited too long for a slot of the target.
    #[display("overloaded")]
    Overloaded,
}

/// What an agent knows of a flow that a balancer looks for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum LookupAnswer {
    /// The target holds the flow.
    #[display("held")]
    Held,
    /// The target does not hold the flow.
    #[display("not held")]
    NotHeld,
    /// The agent started after its target, which may hold flows from before.
    #[display("may be held")]
    MayBeHeld,
}

/// What a flow that opens is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenParams {
    /// The service that the flow is meant for.
    pub service: ServiceTag,
    /// How urgent it is when targets are overloaded; 0 is the most urgent.
    pub priority: u8,
    /// The requests that the balancer expects the target to run. An agent whose target runs clearly
    /// more declines; without a number it takes the flow whatever its load is.
    pub expected_requests: Option<u16>,
}

/// The question whether a target holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// The flow.
    pub flow: FlowKey,
    /// The sequence number that the caller acknowledged.
    pub ack_number: u32,
}

/// A message between a balancer and an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    /// Balancer to agent: open a flow.
    Open {
        /// What the flow is for.
        params: OpenParams,
        /// The opening packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to agent: a later packet of a flow.
    Forward {
        /// The packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to agent: does the target hold this flow?
    Lookup {
        /// The flow.
        flow: FlowKey,
        /// The sequence number that the caller acknowledged, which tells the target's own flow
        /// from one that another target accepted.
        ack_number: u32,
    },
    /// Balancer to agent: which of these flows does the target hold?
    LookupBatch(Box<[LookupQuery]>),
    /// Agent to balancer: the answers to a [`Message::LookupBatch`].
    LookupBatchReply(Box<[(FlowKey, LookupAnswer)]>),
    /// Agent to balancer: the target accepted the flow.
    OpenAccepted {
        /// The flow.
        flow: FlowKey,
    },
    /// Agent to balancer: the opening packet waits for a slot of the target.
    OpenQueued {
        /// The flow.
        flow: FlowKey,
    },
    /// Agent to balancer: the flow was not opened.
    OpenRefused {
        /// The flow.
        flow: FlowKey,
        /// Why.
        cause: RefusalCause,
    },
    /// Agent to balancer: the answer to a [`Message::Lookup`].
    LookupReply {
        /// The flow.
        flow: FlowKey,
        /// What the agent knows.
        answer: LookupAnswer,
    },
    /// Agent to balancer: a forwarded packet of a flow that the target does not hold.
    PacketReturned {
        /// The packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to an agent that is not registered: other agents, which know more balancers.
    AgentList(Box<[SocketAddrV4]>),
    /// Agent to agent: which balancers use you?
    BalancerQuery,
    /// Agent to agent: the balancers that use this one.
    BalancerList(Box<[SocketAddrV4]>),
    /// Agent to balancer: state and load of the target.
    Report {
        /// The target.
        record: AgentRecord,
        /// Its load.
        load: AgentLoad,
    },
}

impl Message<'_> {
    /// Returns the question for the flow of a caller's packet.
    pub(crate) const fn lookup(head: &PacketHeader) -> Self {
        Self::Lookup {
            flow: head.flow_from_caller(),
            ack_number: head.ack_number,
        }
    }
}

/// What a decision asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// Send a message to a balancer or an agent.
    Send {
        /// Where to.
        peer: SocketAddrV4,
        /// The message.
        message: Message<'a>,
    },
    /// Pass a packet to the backend server.
    SendToTarget(Cow<'a, [u8]>),
    /// Pass a packet to a caller.
    SendToCaller {
        /// The caller's end of the flow.
        caller: SocketAddrV4,
        /// The packet.
        packet: Cow<'a, [u8]>,
    },
    /// Reset a flow at its caller.
    Reset(Reset),
    /// Read the changes of the list of agents now; the balancer is told when they are taken in.
    RefreshAgents,
    /// Record a decision.
    RecordEvent(FlowEvent),
}

impl<'a> Action<'a> {
    pub(crate) const fn send(peer: SocketAddrV4, message: Message<'a>) -> Self {
        Self::Send { peer, message }
    }
}

/// Returns the actions of a dropped packet.
pub(super) fn dropped<'a>(flow: FlowKey, cause: DropCause) -> Vec<Action<'a>> {
    vec![Action::RecordEvent(FlowEvent::Dropped { flow, cause })]
}

/// Returns the actions of a reset that answers a caller's packet.
pub(super) fn reset<'a>(head: &PacketHeader, cause: ResetCause) -> Vec<Action<'a>> {
    let flow = head.flow_from_caller();
    vec![
        Action::RecordEvent(FlowEvent::Reset { flow, cause }),
        Action::Reset(Reset::in_reply_to(head)),
    ]
}
