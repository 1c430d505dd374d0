//! The search for the target of a flow that a balancer does not know.
//!
//! Agents are asked in stages: the first ones of the flow's order in the own failure domain, those
//! in others, the rest of the services that the address was routed to, and all others.

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::Dispatcher;
use super::table::FlowState;
use crate::collections::FastSet;
use crate::flow::directory::KnownAgent;
use crate::flow::event::{DropCause, FlowEvent, ResetCause};
use crate::flow::message::{Action, LookupAnswer, LookupQuery, Message, dropped, reset};
use crate::flow::packet::{FlowKey, PacketFlags, PacketHeader};
use crate::flow::rendezvous;

/// How many times as long as for an answer is waited for the target of an agent that can't tell.
const UNSURE_FACTOR: u32 = 3;

/// Packets of one flow that wait for an answer; a sender has at most 16 in flight.
const MAX_HELD_PACKETS: usize = 16;

/// Agents that are asked in one of the first two stages: one more than are compared for a new flow,
/// as an agent may have been added since.
const FIRST_AGENTS: usize = 4;

/// Questions in one message at most, which fit a datagram of 1,200 bytes.
const MAX_QUESTIONS: usize = 64;

/// Which agents are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Local,
    Remote,
    Service,
    All,
}

impl Stage {
    const fn next(self) -> Option<Self> {
        match self {
            Self::Local => Some(Self::Remote),
            Self::Remote => Some(Self::Service),
            Self::Service => Some(Self::All),
            Self::All => None,
        }
    }

    /// Returns whether all agents of the stage are asked, however many there are.
    const fn is_wide(self) -> bool {
        matches!(self, Self::Service | Self::All)
    }
}

/// How far a search is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Answers are awaited.
    Asking,
    /// No agent holds the flow. The flow ends once a list that was read after the search began shows
    /// no other agent.
    Lost { since: Instant },
    /// Agents of the stage that can't tell got the packets.
    Unsure { since: Instant },
}

/// A flow whose target is looked for.
#[derive(Debug)]
pub(super) struct Locating {
    /// The head of the latest packet.
    head: PacketHeader,
    /// Packets that wait for the answer.
    held: Vec<Box<[u8]>>,
    stage: Stage,
    asked: FastSet<SocketAddrV4>,
    /// Agents that were asked and have not answered.
    pending: FastSet<SocketAddrV4>,
    /// Agents that can't tell, and get the packets until their target returns one.
    unsure: Vec<SocketAddrV4>,
    /// Agents that were asked ahead of their stage, as an answer takes as long as the stage before.
    ahead: FastSet<SocketAddrV4>,
    began_at: Instant,
    asked_at: Instant,
    progress: Progress,
}

impl Locating {
    fn new(head: PacketHeader, packet: &[u8], now: Instant) -> Self {
        Self {
            head,
            held: vec![packet.into()],
            stage: Stage::Local,
            asked: FastSet::default(),
            pending: FastSet::default(),
            unsure: Vec::new(),
            ahead: FastSet::default(),
            began_at: now,
            asked_at: now,
            progress: Progress::Asking,
        }
    }

    /// Returns whether nothing came of the search and no packet follows.
    pub(super) fn is_abandoned(&self, lifetime: Duration, now: Instant) -> bool {
        match self.progress {
            Progress::Lost { since } => now.saturating_duration_since(since) >= lifetime,
            _ => false,
        }
    }

    pub(super) fn is_overdue(&self, timeout: Duration, now: Instant) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        match self.progress {
            Progress::Asking => elapsed(self.asked_at) >= timeout,
            Progress::Unsure { since } => elapsed(since) >= timeout * UNSURE_FACTOR,
            Progress::Lost { .. } => false,
        }
    }

    /// Keeps a packet until the target is found.
    fn hold(&mut self, packet: &[u8]) -> bool {
        // Several agents may return the same packet.
        if self.held.iter().any(|held| **held == *packet) {
            return true;
        }
        let has_room = self.held.len() < MAX_HELD_PACKETS;
        if has_room {
            self.held.push(packet.into());
        }
        has_room
    }

    /// Adds the agents of a stage to those that are asked. Returns whether one is new.
    fn begin_stage(&mut self, agents: &[SocketAddrV4]) -> bool {
        let mut has_new = false;
        for agent in agents {
            self.ahead.remove(agent);
            if self.asked.insert(*agent) {
                self.pending.insert(*agent);
                has_new = true;
            }
        }
        has_new
    }

    /// Returns the agents that can't tell, without those of a later stage.
    fn unsure_of_stage(&self) -> Vec<SocketAddrV4> {
        let unsure = self.unsure.iter().copied();
        unsure.filter(|agent| !self.ahead.contains(agent)).collect()
    }

    fn exclude(&mut self, agent: SocketAddrV4) {
        self.pending.remove(&agent);
        self.unsure.retain(|unsure| *unsure != agent);
    }
}

impl Dispatcher {
    /// Asks the agents for a flow. `previous` is the agent that had it before.
    pub(super) fn locate<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &[u8],
        previous: Option<SocketAddrV4>,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let mut locating = Locating::new(*head, packet, now);
        locating.pending.extend(previous);
        locating.asked.extend(previous);
        let state = FlowState::Locating(Box::new(locating));
        self.flows.insert(flow, state, now);
        self.ask_stage(flow, now)
    }

    /// Asks the agents of the current stage and those that have not answered. A stage with nobody to
    /// wait for is passed over.
    fn ask_stage<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let mut actions = Vec::new();
        loop {
            let Some(locating) = self.locating(flow) else {
                return actions;
            };
            let stage = locating.stage;
            let agents = self.agents_of(stage, &flow);
            let Some(locating) = self.locating_mut(flow) else {
                return actions;
            };
            let has_new = locating.begin_stage(&agents);
            let next = stage.next();
            if !self.is_waiting(flow, now)
                && let Some(next) = next
                && let Some(locating) = self.locating_mut(flow)
            {
                locating.stage = next;
                continue;
            }
            if stage == Stage::Service {
                self.add_ahead(flow);
            }
            // Agents that were asked ahead need no second question yet.
            let is_due = |locating: &Locating| {
                locating.is_overdue(self.options.lookup_timeout, now) || stage != Stage::All
            };
            if has_new || self.locating(flow).is_some_and(is_due) {
                actions.extend(self.ask_pending(flow, now));
            }
            if stage.is_wide() && !self.is_list_current(flow) {
                actions.push(Action::RefreshAgents);
            }
            if !self.is_waiting(flow, now) {
                actions.extend(self.conclude_stage(flow, now));
            }
            return actions;
        }
    }

    /// Returns whether an agent that usually answers has not answered yet.
    fn is_waiting(&self, flow: FlowKey, now: Instant) -> bool {
        let timeout = self.options.lookup_timeout;
        let is_awaited =
            |agent: &SocketAddrV4| !self.liveness.is_unresponsive(*agent, timeout, now);
        self.locating(flow).is_some_and(|locating| {
            let mut of_stage = locating.pending.difference(&locating.ahead);
            of_stage.any(is_awaited)
        })
    }

    /// Adds the agents of the last stage to those that are asked.
    fn add_ahead(&mut self, flow: FlowKey) {
        let agents = self.agents_of(Stage::All, &flow);
        if let Some(locating) = self.locating_mut(flow) {
            for agent in agents {
                if locating.asked.insert(agent) {
                    locating.pending.insert(agent);
                    locating.ahead.insert(agent);
                }
            }
        }
    }

    fn agents_of(&self, stage: Stage, flow: &FlowKey) -> Vec<SocketAddrV4> {
        let address = flow.service_address;
        let of_service = || {
            let all = self.directory.agents();
            all.filter(move |agent| self.routes.was_routed_to(address, agent.service_tag))
        };
        let first = |is_local: bool| {
            let agents = of_service().filter(move |agent| agent.is_local == is_local);
            rendezvous::top_ranked(flow, agents, FIRST_AGENTS)
        };
        let agents: Vec<&KnownAgent> = match stage {
            Stage::Local => first(true),
            Stage::Remote => first(false),
            Stage::Service => of_service().collect(),
            Stage::All => self.directory.agents().collect(),
        };
        agents.into_iter().map(|a| a.record.address).collect()
    }

    /// Asks the agents that have not answered.
    fn ask_pending<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let timeout = self.options.lookup_timeout;
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.asked_at = now;
        let is_wide = locating.stage.is_wide();
        let message = Message::lookup(&locating.head);
        let ack_number = locating.head.ack_number;
        let pending: Vec<_> = locating.pending.iter().copied().collect();
        if is_wide {
            // What may not be asked now is asked once the answers are overdue.
            if self.questions.take(pending.len(), now) {
                let question = LookupQuery { flow, ack_number };
                self.questions.gather(&pending, question);
            }
            return Vec::new();
        }
        let ask = |agent| {
            self.liveness.on_asked(agent, timeout, now);
            Action::send(agent, message.clone())
        };
        pending.into_iter().map(ask).collect()
    }

    /// Asks the questions that were gathered, those to one agent in one message.
    pub(super) fn ask_gathered(&mut self, now: Instant) -> Vec<Action<'static>> {
        let timeout = self.options.lookup_timeout;
        let mut actions = Vec::new();
        for (agent, questions) in self.questions.take_gathered() {
            self.liveness.on_asked(agent, timeout, now);
            let messages = questions.chunks(MAX_QUESTIONS);
            let ask = |questions: &[_]| Action::send(agent, Message::LookupBatch(questions.into()));
            actions.extend(messages.map(ask));
        }
        actions
    }

    /// Takes in an agent's answer to a question for a flow.
    pub fn on_lookup_reply(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        answer: LookupAnswer,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.on_heard(agent, now);
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        match answer {
            LookupAnswer::Held => return self.on_found(agent, flow, now),
            LookupAnswer::NotHeld => locating.exclude(agent),
            LookupAnswer::MayBeHeld => {
                locating.pending.remove(&agent);
                if !locating.unsure.contains(&agent) {
                    locating.unsure.push(agent);
                }
            }
        }
        self.conclude(flow, now)
    }

    fn on_found(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        let held = std::mem::take(&mut locating.held);
        let event = FlowEvent::Located {
            flow,
            agent,
            queried_agents: locating.asked.len(),
            elapsed: now.saturating_duration_since(locating.began_at),
        };
        self.flows.insert(flow, FlowState::Held(agent), now);
        let mut actions = vec![Action::RecordEvent(event)];
        actions.extend(held.into_iter().map(|packet| forward_held(agent, packet)));
        actions
    }

    /// Notes that the target of an agent that could not tell does not hold a flow.
    pub(super) fn on_not_held(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        packet: &[u8],
        now: Instant,
    ) -> Vec<Action<'static>> {
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.exclude(agent);
        locating.hold(packet);
        let is_unsure = matches!(locating.progress, Progress::Unsure { .. });
        if is_unsure && locating.unsure_of_stage().is_empty() {
            return self.ask_next_stage(flow, now);
        }
        self.conclude(flow, now)
    }

    /// Goes on once every agent of the stage has answered or is unresponsive.
    pub(super) fn conclude(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        let timeout = self.options.lookup_timeout;
        let Some(locating) = self.locating(flow) else {
            return Vec::new();
        };
        let is_overdue = locating.is_overdue(timeout, now);
        match locating.progress {
            Progress::Unsure { .. } if is_overdue => self.ask_next_stage(flow, now),
            Progress::Unsure { .. } | Progress::Lost { .. } => Vec::new(),
            Progress::Asking => {
                let is_waiting = self.is_waiting(flow, now);
                if is_waiting && !is_overdue {
                    return Vec::new();
                }
                if is_waiting && locating.stage.next().is_none() {
                    return self.ask_pending(flow, now);
                }
                self.conclude_stage(flow, now)
            }
        }
    }

    /// Passes the packets to the agents of the stage that can't tell, or goes on to the next stage.
    fn conclude_stage<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        let unsure = locating.unsure_of_stage();
        if unsure.is_empty() {
            return self.ask_next_stage(flow, now);
        }
        locating.progress = Progress::Unsure { since: now };
        let held = std::mem::take(&mut locating.held);
        let copies = |packet: Box<[u8]>| {
            let to_agent = move |agent: &SocketAddrV4| forward_held(*agent, packet.clone());
            unsure.iter().map(to_agent)
        };
        held.into_iter().flat_map(copies).collect()
    }

    fn ask_next_stage<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.progress = Progress::Asking;
        match locating.stage.next() {
            Some(next) => {
                locating.stage = next;
                self.ask_stage(flow, now)
            }
            None if locating.unsure.is_empty() => self.on_lost(flow, now),
            None => {
                locating.progress = Progress::Unsure { since: now };
                Vec::new()
            }
        }
    }

    pub(super) fn on_while_locating<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let interval = self.options.lookup_retry_interval;
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.head = *head;
        match locating.progress {
            Progress::Asking => {
                if locating.hold(packet) {
                    Vec::new()
                } else {
                    dropped(flow, DropCause::BufferFull)
                }
            }
            Progress::Unsure { .. } => {
                let message = Message::Forward {
                    packet: Cow::Borrowed(packet),
                };
                let unsure = locating.unsure_of_stage();
                unsure
                    .iter()
                    .map(|agent| Action::send(*agent, message.clone()))
                    .collect()
            }
            Progress::Lost { since } if now.saturating_duration_since(since) < interval => {
                dropped(flow, DropCause::FlowNotFound)
            }
            Progress::Lost { .. } => self.locate(head, packet, None, now),
        }
    }

    /// Returns whether the list of agents was read after the search for a flow began. An agent takes
    /// flows only after it was listed, so such a list has the agent of a flow that is open.
    fn is_list_current(&self, flow: FlowKey) -> bool {
        let locating = self.locating(flow);
        locating.is_some_and(|locating| self.list_as_of >= Some(locating.began_at))
    }

    /// Notes that no agent holds a flow, which ends if no agent can have been missed.
    fn on_lost<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.progress = Progress::Lost { since: now };
        let event = FlowEvent::NotLocated {
            flow,
            queried_agents: locating.asked.len(),
            unresponsive_agents: locating.pending.len(),
        };
        let mut actions = vec![Action::RecordEvent(event)];
        if self.is_list_current(flow) {
            actions.extend(self.end_unless_missed(flow, now));
        } else {
            actions.push(Action::RefreshAgents);
        }
        actions
    }

    /// Notes that all changes of the list of agents before `as_of` are taken in. Lost flows whose
    /// search began before are reset, so that their callers open others at once; those for which another
    /// agent turned up are looked for there.
    pub fn on_agents_refreshed(&mut self, as_of: Instant, now: Instant) -> Vec<Action<'static>> {
        self.list_as_of = self.list_as_of.max(Some(as_of));
        let mut actions = Vec::new();
        for flow in self.flows.unsettled() {
            let Some(locating) = self.locating(flow) else {
                continue;
            };
            if !matches!(locating.progress, Progress::Lost { .. }) || locating.began_at > as_of {
                continue;
            }
            actions.extend(self.end_unless_missed(flow, now));
        }
        actions
    }

    /// Ends a lost flow, or goes on with its search if agents turned up that were not asked.
    fn end_unless_missed<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(locating) = self.locating(flow) else {
            return Vec::new();
        };
        let is_missed = |agent: &KnownAgent| !locating.asked.contains(&agent.record.address);
        if !self.directory.agents().any(is_missed) {
            return self.end(flow);
        }
        if let Some(locating) = self.locating_mut(flow) {
            locating.progress = Progress::Asking;
        }
        self.ask_stage(flow, now)
    }

    fn end<'a>(&mut self, flow: FlowKey) -> Vec<Action<'a>> {
        let Some(FlowState::Locating(locating)) = self.flows.remove(&flow) else {
            return Vec::new();
        };
        if locating.head.flags.contains(PacketFlags::RST) {
            return Vec::new();
        }
        reset(&locating.head, ResetCause::FlowUnknown)
    }

    fn locating(&self, flow: FlowKey) -> Option<&Locating> {
        match &self.flows.get(&flow)?.state {
            FlowState::Locating(locating) => Some(locating),
            _ => None,
        }
    }

    fn locating_mut(&mut self, flow: FlowKey) -> Option<&mut Locating> {
        match &mut self.flows.get_mut(&flow)?.state {
            FlowState::Locating(locating) => Some(locating),
            _ => None,
        }
    }
}

fn forward_held<'a>(agent: SocketAddrV4, packet: Box<[u8]>) -> Action<'a> {
    let packet = Cow::Owned(packet.into_vec());
    Action::send(agent, Message::Forward { packet })
}
