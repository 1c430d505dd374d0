//! The opening of flows at a balancer.

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::Dispatcher;
use super::table::FlowState;
use crate::flow::event::{DropCause, FlowEvent, ResetCause};
use crate::flow::message::{Action, Message, OpenParams, RefusalCause, dropped, reset};
use crate::flow::packet::{FlowKey, PacketHeader};
use crate::flow::selection::{SelectedAgent, SelectionRequest};
use crate::ids::{ServiceName, ServiceTag};

/// Opening packets that wait for the first target at most.
const MAX_WAITING: usize = 512;

/// How often a flow may be declined for load. Each time the balancer chooses again by a fresh report,
/// so more rarely find a better target.
pub const MAX_DECLINES: u32 = 2;

/// How long an agent that keeps an opening packet may leave it without a further answer; agents answer
/// within half of this.
const WAITING_TIME: Duration = Duration::from_millis(800);

/// Doublings of the time for an answer at most.
const MAX_DOUBLINGS: u32 = 4;

/// An opening packet without an answer yet.
#[derive(Debug)]
pub(super) struct Opening {
    head: PacketHeader,
    packet: Box<[u8]>,
    service: ServiceName,
    is_bulk: bool,
    priority: u8,
    /// The agent that has the packet, or none while no target is known.
    pub(super) target: Option<SocketAddrV4>,
    tried: Vec<SocketAddrV4>,
    /// How many agents declined for load.
    declines: u32,
    began_at: Instant,
    sent_at: Instant,
}

impl Opening {
    pub(super) fn is_overdue(&self, timeout: Duration, now: Instant) -> bool {
        let doublings = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let timeout = timeout * 2_u32.saturating_pow(doublings.min(MAX_DOUBLINGS));
        now.saturating_duration_since(self.sent_at) >= timeout
    }

    /// Returns the number of the agent that gets the packet next, from 1.
    fn attempt(&self) -> usize {
        self.tried.len() + usize::try_from(self.declines).unwrap_or(usize::MAX) + 1
    }

    const fn may_be_declined(&self) -> bool {
        self.declines < MAX_DECLINES
    }

    /// Returns whether this balancer had the caller's first packet of the flow, so that no other
    /// balancer can have opened it before.
    const fn is_first_copy(&self) -> bool {
        self.head.ack_number == 0
    }
}

impl Dispatcher {
    pub(super) fn on_opening<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        match self.flows.get(&flow).map(|entry| &entry.state) {
            Some(FlowState::Held(agent)) => {
                let agent = *agent;
                self.open_again(agent, flow, packet)
            }
            Some(FlowState::Opening(opening)) => match opening.target {
                Some(agent) => self.open_again(agent, flow, packet),
                None => Vec::new(),
            },
            Some(FlowState::Locating(_)) => dropped(flow, DropCause::FlowNotFound),
            None => self.open_new(head, packet, now),
        }
    }

    /// Notes that a flow waits for a slot at its agent, which says what becomes of it.
    pub fn on_open_queued(&mut self, agent: SocketAddrV4, flow: FlowKey, now: Instant) {
        self.on_heard(agent, now);
        if let Some(entry) = self.flows.get_mut(&flow)
            && let FlowState::Opening(opening) = &mut entry.state
            && opening.target == Some(agent)
        {
            opening.sent_at = now + WAITING_TIME;
        }
    }

    /// Notes that an agent did not open a flow, and tries the next one.
    pub fn on_open_refused(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        cause: RefusalCause,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let mut actions = vec![Action::RecordEvent(FlowEvent::Refused {
            flow,
            agent,
            cause,
        })];
        self.on_heard(agent, now);
        if let Some(entry) = self.flows.get_mut(&flow)
            && let FlowState::Opening(opening) = &mut entry.state
        {
            let is_current = opening.target == Some(agent);
            if cause == RefusalCause::BusierThanExpected {
                opening.declines += 1;
            } else if cause == RefusalCause::Overloaded {
                actions.extend(self.give_up(flow, ResetCause::Overloaded));
                return actions;
            } else if !opening.tried.contains(&agent) {
                opening.tried.push(agent);
            }
            if is_current {
                actions.extend(self.place(flow, now));
            }
        }
        actions
    }

    /// Sends the opening packet of a flow whose agent is silent to another agent.
    pub(super) fn reopen(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        let lifetime = self.options.syn_lifetime;
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Opening(opening) = &mut entry.state else {
            return Vec::new();
        };
        if now.saturating_duration_since(opening.began_at) >= lifetime {
            self.flows.remove(&flow);
            return Vec::new();
        }
        let Some(agent) = opening.target else {
            return Vec::new();
        };
        opening.sent_at = now;
        if opening.tried.contains(&agent) {
            return Vec::new();
        }
        opening.tried.push(agent);
        self.selector.on_open_timeout(agent, now);
        let mut actions = vec![Action::RecordEvent(FlowEvent::Unanswered { flow, agent })];
        if let Some(pick) = self.choose(flow, now) {
            actions.extend(self.open_at(pick, flow, now));
        }
        actions
    }

    /// Places the opening packets that waited for a target.
    pub(super) fn place_waiting(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for flow in self.flows.unsettled() {
            if let Some(entry) = self.flows.get(&flow)
                && let FlowState::Opening(opening) = &entry.state
                && opening.target.is_none()
                && let Some(pick) = self.choose(flow, now)
            {
                actions.extend(self.open_at(pick, flow, now));
            }
        }
        actions
    }

    fn open_new<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let route = self.routes.route(flow.service_address);
        let Some((route, service)) = route.and_then(|r| Some((r, r.service_for(&flow)?))) else {
            return reset(head, ResetCause::NoRoute);
        };
        let opening = Opening {
            head: *head,
            packet: packet.into(),
            service: service.clone(),
            is_bulk: route.is_bulk,
            priority: route.priority,
            target: None,
            tried: Vec::new(),
            declines: 0,
            began_at: now,
            sent_at: now,
        };
        let state = FlowState::Opening(Box::new(opening));
        self.flows.insert(flow, state, now);
        self.place(flow, now)
    }

    /// Chooses an agent for a flow that opens. Without one the flow waits while the list of agents
    /// is not complete, and is reset afterwards.
    fn place(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        if let Some(pick) = self.choose(flow, now) {
            return self.open_at(pick, flow, now);
        }
        // Before the store's list was read, targets may be there that no other balancer told of.
        let may_wait = !self.has_list && self.flows.unsettled_len() <= MAX_WAITING;
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Opening(opening) = &mut entry.state else {
            return Vec::new();
        };
        if may_wait {
            opening.target = None;
            return Vec::new();
        }
        let mut actions = self.give_up(flow, ResetCause::NoTarget);
        // A target may have been added that the list does not show yet.
        actions.push(Action::RefreshAgents);
        actions
    }

    /// Tells the caller of a flow that opens to come back, if no other balancer can have opened it with
    /// an earlier copy of the packet.
    fn give_up(&mut self, flow: FlowKey, cause: ResetCause) -> Vec<Action<'static>> {
        match self.flows.remove(&flow) {
            Some(FlowState::Opening(opening)) if opening.is_first_copy() => {
                reset(&opening.head, cause)
            }
            _ => dropped(flow, DropCause::FlowNotFound),
        }
    }

    fn choose(&mut self, flow: FlowKey, now: Instant) -> Option<SelectedAgent> {
        let FlowState::Opening(opening) = &self.flows.get(&flow)?.state else {
            return None;
        };
        let choice = SelectionRequest {
            flow,
            service: ServiceTag::of(&opening.service),
            is_bulk: opening.is_bulk,
            excluded: &opening.tried,
        };
        self.selector.select(&choice, &self.directory, now)
    }

    fn open_at(
        &mut self,
        pick: SelectedAgent,
        flow: FlowKey,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let agent = pick.address;
        let reported_at = self
            .directory
            .agent(agent)
            .and_then(|known| known.reported_at);
        let version = self.routes.version().unwrap_or_default();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Opening(opening) = &mut entry.state else {
            return Vec::new();
        };
        opening.target = Some(agent);
        opening.sent_at = now;
        let event = FlowEvent::Placed {
            flow,
            service: opening.service.clone(),
            agent,
            attempt: opening.attempt(),
            version,
            load_age: reported_at.map(|at| now.saturating_duration_since(at)),
        };
        let params = OpenParams {
            service: ServiceTag::of(&opening.service),
            priority: opening.priority,
            expected_requests: opening.may_be_declined().then_some(pick.expected_requests),
        };
        let message = Message::Open {
            params,
            packet: Cow::Owned(opening.packet.to_vec()),
        };
        vec![Action::RecordEvent(event), Action::send(agent, message)]
    }

    /// Sends a copy of an opening packet where the first one went.
    fn open_again<'a>(
        &self,
        agent: SocketAddrV4,
        flow: FlowKey,
        packet: &'a [u8],
    ) -> Vec<Action<'a>> {
        let route = self.routes.route(flow.service_address);
        let known = self.directory.agent(agent).map(|known| known.service_tag);
        let routed = || route?.service_for(&flow).map(ServiceTag::of);
        let Some(service) = known.or_else(routed) else {
            return Vec::new();
        };
        let params = OpenParams {
            service,
            priority: route.map_or(u8::MAX, |route| route.priority),
            expected_requests: None,
        };
        let message = Message::Open {
            params,
            packet: Cow::Borrowed(packet),
        };
        vec![Action::send(agent, message)]
    }
}
