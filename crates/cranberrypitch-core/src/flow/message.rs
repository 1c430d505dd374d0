//! Messages between balancers and agents, and the actions that decisions lead to.

use std::borrow::Cow;
use std::net::SocketAddrV4;

use derive_more::Display;

use super::directory::AgentRecord;
use super::event::{DropCause, FlowEvent, ResetCause};
use super::load::AgentLoad;
use super::packet::{FlowKey, PacketHead, Reset};
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
    Busier,
    /// The opening packet waited too long for a slot of the target.
    #[display("overloaded")]
    Overloaded,
}

/// What an agent knows of a flow that a balancer looks for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum LocateAnswer {
    /// The target holds the flow.
    #[display("held")]
    Held,
    /// The target does not hold the flow.
    #[display("not held")]
    NotHeld,
    /// The agent started after its target, which may hold flows from before.
    #[display("may be held")]
    Unknown,
}

/// What a flow that opens is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpeningTerms {
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
pub struct LocateQuestion {
    /// The flow.
    pub flow: FlowKey,
    /// The sequence number that the caller acknowledged.
    pub acknowledged: u32,
}

/// A message between a balancer and an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    /// Balancer to agent: open a flow.
    Open {
        /// What the flow is for.
        terms: OpeningTerms,
        /// The opening packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to agent: a later packet of a flow.
    Forward {
        /// The packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to agent: does the target hold this flow?
    Locate {
        /// The flow.
        flow: FlowKey,
        /// The sequence number that the caller acknowledged, which tells the target's own flow
        /// from one that another target accepted.
        acknowledged: u32,
    },
    /// Balancer to agent: which of these flows does the target hold?
    LocateAll(Box<[LocateQuestion]>),
    /// Agent to balancer: the answers to a [`Message::LocateAll`].
    LocatedAll(Box<[(FlowKey, LocateAnswer)]>),
    /// Agent to balancer: the target accepted the flow.
    Accepted {
        /// The flow.
        flow: FlowKey,
    },
    /// Agent to balancer: the opening packet waits for a slot of the target.
    Waiting {
        /// The flow.
        flow: FlowKey,
    },
    /// Agent to balancer: the flow was not opened.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// Why.
        cause: RefusalCause,
    },
    /// Agent to balancer: the answer to a [`Message::Locate`].
    Located {
        /// The flow.
        flow: FlowKey,
        /// What the agent knows.
        answer: LocateAnswer,
    },
    /// Agent to balancer: a forwarded packet of a flow that the target does not hold.
    Returned {
        /// The packet.
        packet: Cow<'a, [u8]>,
    },
    /// Balancer to an agent that is not registered: other agents, which know more balancers.
    Agents(Box<[SocketAddrV4]>),
    /// Agent to agent: which balancers use you?
    AskBalancers,
    /// Agent to agent: the balancers that use this one.
    Balancers(Box<[SocketAddrV4]>),
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
    pub(crate) const fn locate(head: &PacketHead) -> Self {
        Self::Locate {
            flow: head.flow_from_caller(),
            acknowledged: head.acknowledged,
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
    ToTarget(Cow<'a, [u8]>),
    /// Pass a packet to a caller.
    ToCaller {
        /// The caller's end of the flow.
        caller: SocketAddrV4,
        /// The packet.
        packet: Cow<'a, [u8]>,
    },
    /// Reset a flow at its caller.
    Reset(Reset),
    /// Read the changes of the list of agents now; the balancer is told when they are taken in.
    ReadList,
    /// Record a decision.
    Record(FlowEvent),
}

impl<'a> Action<'a> {
    pub(crate) const fn send(peer: SocketAddrV4, message: Message<'a>) -> Self {
        Self::Send { peer, message }
    }
}

/// Returns the actions of a dropped packet.
pub(super) fn dropped<'a>(flow: FlowKey, cause: DropCause) -> Vec<Action<'a>> {
    vec![Action::Record(FlowEvent::Dropped { flow, cause })]
}

/// Returns the actions of a reset that answers a caller's packet.
pub(super) fn reset<'a>(head: &PacketHead, cause: ResetCause) -> Vec<Action<'a>> {
    let flow = head.flow_from_caller();
    vec![
        Action::Record(FlowEvent::Reset { flow, cause }),
        Action::Reset(Reset::answering(head)),
    ]
}
