//! The state of the lookup of a flow.

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::collections::FastSet;
use crate::flow::dispatcher::packet_buffer::FlowPacketBuffer;
use crate::flow::message::{Action, Message};
use crate::flow::packet::PacketHeader;
use crate::ids::ServiceTag;

/// The time that possible holders have to return a forwarded packet, as a multiple of the lookup
/// timeout.
const PROBE_TIMEOUT_FACTOR: u32 = 3;

/// The time after which a query without an answer is repeated once, as part of the lookup timeout. A
/// lookup queries all agents of the deployment, so one of its datagrams is often lost.
const REPEAT_DELAY: Duration = Duration::from_millis(25);

/// The set of agents that are queried together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The highest-ranked agents in the own failure domain.
    Local,
    /// The highest-ranked agents in other failure domains.
    Remote,
    /// All agents of the services that the address is or was routed to.
    Service,
    /// All agents.
    All,
}

impl Stage {
    pub(super) const fn next(self) -> Option<Self> {
        match self {
            Self::Local => Some(Self::Remote),
            Self::Remote => Some(Self::Service),
            Self::Service => Some(Self::All),
            Self::All => None,
        }
    }

    /// Returns whether the number of agents in the stage has no limit.
    pub(super) const fn is_unbounded(self) -> bool {
        matches!(self, Self::Service | Self::All)
    }
}

/// The progress of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The agents of the stage were queried and have not all replied.
    Querying,
    /// No agent holds the flow. The flow is reset if an agent list read after the start of the lookup
    /// contains no agent that was not queried.
    NotFound { since: Instant },
    /// The packets are forwarded to the possible holders of the stage, whose targets return packets
    /// of flows that they don't hold.
    Probing { since: Instant },
}

impl Progress {
    pub(super) const fn is_not_found(self) -> bool {
        matches!(self, Self::NotFound { .. })
    }
}

/// The lookup of the agent of a flow.
#[derive(Debug)]
pub(in crate::flow::dispatcher) struct FlowLookup {
    /// The header of the latest packet.
    pub(super) header: PacketHeader,
    /// The service that the flow was opened for; none if this balancer did not open it.
    pub(in crate::flow::dispatcher) service: Option<ServiceTag>,
    /// The packets to forward once the agent is found.
    pub(super) buffered_packets: FlowPacketBuffer,
    pub(super) stage: Stage,
    pub(super) queried: FastSet<SocketAddrV4>,
    /// The agents that were queried and have not replied.
    pub(super) unanswered: FastSet<SocketAddrV4>,
    /// The agents that answered [`LookupAnswer::MayBeHeld`] and whose targets have not returned a
    /// packet.
    pub(super) possible_holders: Vec<SocketAddrV4>,
    /// The agents of the last stage that were queried together with the stage before, to save a round
    /// trip.
    pub(super) queried_ahead: FastSet<SocketAddrV4>,
    pub(super) started_at: Instant,
    /// The time at which an agent was last added to the queried ones.
    pub(super) last_agent_added_at: Instant,
    pub(super) queried_at: Instant,
    /// Whether the queries since `queried_at` were repeated.
    pub(super) is_repeated: bool,
    pub(super) progress: Progress,
}

impl FlowLookup {
    pub(super) fn new(header: PacketHeader, packet: &[u8], now: Instant) -> Self {
        let mut buffered_packets = FlowPacketBuffer::default();
        buffered_packets.push_distinct(packet);
        Self {
            header,
            service: None,
            buffered_packets,
            stage: Stage::Local,
            queried: FastSet::default(),
            unanswered: FastSet::default(),
            possible_holders: Vec::new(),
            queried_ahead: FastSet::default(),
            started_at: now,
            last_agent_added_at: now,
            queried_at: now,
            is_repeated: false,
            progress: Progress::Querying,
        }
    }

    /// Returns whether queries that have no answer should be repeated.
    pub(in crate::flow::dispatcher) fn is_repeat_due(&self, now: Instant) -> bool {
        self.progress == Progress::Querying
            && !self.is_repeated
            && now.saturating_duration_since(self.queried_at) >= REPEAT_DELAY
    }

    /// Returns whether the lookup failed and its result has been kept for the lifetime.
    pub(in crate::flow::dispatcher) fn is_expired(&self, lifetime: Duration, now: Instant) -> bool {
        match self.progress {
            Progress::NotFound { since } => now.saturating_duration_since(since) >= lifetime,
            _ => false,
        }
    }

    /// Returns whether the replies or the returned packets of the stage are overdue.
    pub(in crate::flow::dispatcher) fn is_timed_out(
        &self,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        match self.progress {
            Progress::Querying => elapsed(self.queried_at) >= timeout,
            Progress::Probing { since } => elapsed(since) >= timeout * PROBE_TIMEOUT_FACTOR,
            Progress::NotFound { .. } => false,
        }
    }

    /// Adds the agents of a stage to the queried ones. Returns whether one of them is new.
    pub(super) fn begin_stage(&mut self, agents: &[SocketAddrV4], now: Instant) -> bool {
        let mut has_new = false;
        // An agent that was queried ahead may be excluded since by its record, which is that of an earlier process if
        // the agent has answered that its target may hold the flow.
        if self.stage.next().is_none() {
            self.queried_ahead.clear();
        }
        for agent in agents {
            self.queried_ahead.remove(agent);
            if self.queried.insert(*agent) {
                self.unanswered.insert(*agent);
                self.last_agent_added_at = now;
                has_new = true;
            }
        }
        has_new
    }

    /// Returns the time as of which the agent list must be known to show that no agent holds the flow. A
    /// silent agent may have stopped as planned after an earlier read.
    pub(super) fn list_needed_as_of(&self) -> Instant {
        if self.unanswered.is_empty() {
            self.started_at
        } else {
            self.last_agent_added_at
        }
    }

    /// Returns the possible holders, without those that were queried ahead of their stage.
    pub(super) fn possible_holders_of_stage(&self) -> Vec<SocketAddrV4> {
        let holders = self.possible_holders.iter().copied();
        holders
            .filter(|agent| !self.queried_ahead.contains(agent))
            .collect()
    }

    /// Returns the actions that forward the buffered packets to an agent.
    pub(in crate::flow::dispatcher) fn forward_buffered_to(
        &mut self,
        agent: SocketAddrV4,
    ) -> Vec<Action<'static>> {
        let packets = self.buffered_packets.take().into_iter();
        packets
            .map(|packet| forward_buffered(agent, packet))
            .collect()
    }

    /// Records that the target of an agent does not hold the flow.
    pub(super) fn rule_out(&mut self, agent: SocketAddrV4) {
        self.unanswered.remove(&agent);
        self.possible_holders.retain(|holder| *holder != agent);
    }
}

pub(super) fn forward_buffered<'a>(agent: SocketAddrV4, packet: Box<[u8]>) -> Action<'a> {
    let packet = Cow::Owned(packet.into_vec());
    Action::send(agent, Message::Forward { packet })
}
