//! The search for the target of a flow that a balancer does not know.

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::table::FlowState;
use super::{Dispatcher, dropped, reset};
use crate::collections::FastSet;
use crate::flow::event::{DropCause, FlowEvent, ResetCause};
use crate::flow::message::{Action, LocateAnswer, Message};
use crate::flow::packet::{FlowKey, PacketFlags, PacketHead};

/// Packets of one flow that wait for an answer; a sender has at most 16 in flight.
const MAX_HELD_PACKETS: usize = 16;

/// A flow whose target is looked for.
#[derive(Debug)]
pub(super) struct Locating {
    /// The head of the latest packet.
    head: PacketHead,
    /// Packets that wait for the answer.
    held: Vec<Box<[u8]>>,
    /// Agents that were asked and have not answered.
    pending: FastSet<SocketAddrV4>,
    /// Agents that can't tell, and get the packets until their target returns one.
    unsure: Vec<SocketAddrV4>,
    /// The agent that had the flow before.
    previous: Option<SocketAddrV4>,
    asked: usize,
    asked_at: Instant,
    is_concluded: bool,
}

impl Locating {
    pub(super) fn is_overdue(&self, timeout: Duration, now: Instant) -> bool {
        !self.is_concluded && now.saturating_duration_since(self.asked_at) >= timeout
    }

    /// Notes that an agent does not hold the flow.
    pub(super) fn exclude(&mut self, agent: SocketAddrV4) {
        self.pending.remove(&agent);
        self.unsure.retain(|unsure| *unsure != agent);
    }

    /// Keeps a packet until the target is found.
    pub(super) fn hold(&mut self, packet: &[u8]) -> bool {
        let has_room = self.held.len() < MAX_HELD_PACKETS;
        if has_room {
            self.held.push(packet.into());
        }
        has_room
    }
}

impl Dispatcher {
    /// Asks the agents for a flow. `previous` is the agent that had it before.
    pub(super) fn locate<'a>(
        &mut self,
        head: &PacketHead,
        packet: &[u8],
        previous: Option<SocketAddrV4>,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let routed = self
            .directory
            .all()
            .filter(|agent| self.routes.was_routed_to(flow.service_address, agent.tag))
            .map(|agent| agent.record.address);
        let pending: FastSet<_> = routed.chain(previous).collect();
        let locating = Locating {
            head: *head,
            held: vec![packet.into()],
            asked: pending.len(),
            pending,
            unsure: Vec::new(),
            previous,
            asked_at: now,
            is_concluded: false,
        };
        let state = FlowState::Locating(Box::new(locating));
        self.flows.insert(flow, state, now);
        self.ask_pending(flow, now)
    }

    /// Asks the agents that have not answered.
    fn ask_pending<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let timeout = self.options.locate_timeout;
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.asked_at = now;
        let message = Message::locate(&locating.head);
        let pending: Vec<_> = locating.pending.iter().copied().collect();
        let ask = |agent| {
            self.liveness.on_asked(agent, timeout, now);
            Action::send(agent, message.clone())
        };
        pending.into_iter().map(ask).collect()
    }

    /// Takes in an agent's answer to a question for a flow.
    pub fn on_located(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        answer: LocateAnswer,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.on_heard(agent, now);
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        match answer {
            LocateAnswer::Held => {
                let elapsed = now.saturating_duration_since(locating.asked_at);
                let held = std::mem::take(&mut locating.held);
                self.flows.insert(flow, FlowState::Held(agent), now);
                let event = FlowEvent::Located {
                    flow,
                    agent,
                    answer,
                    elapsed,
                };
                let mut actions = vec![Action::Record(event)];
                actions.extend(held.into_iter().map(|packet| forward_held(agent, packet)));
                return actions;
            }
            LocateAnswer::NotHeld => locating.exclude(agent),
            LocateAnswer::Unknown => {
                locating.pending.remove(&agent);
                if !locating.unsure.contains(&agent) {
                    locating.unsure.push(agent);
                }
            }
        }
        self.conclude(flow, now)
    }

    /// Notes that the target of an agent that could not tell does not hold a flow.
    pub(super) fn on_not_held(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.exclude(agent);
        if locating.is_concluded && locating.unsure.is_empty() {
            return self.end_if_lost(flow);
        }
        self.conclude(flow, now)
    }

    /// Decides what becomes of a flow once every agent has answered or is unresponsive.
    pub(super) fn conclude(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        let timeout = self.options.locate_timeout;
        let liveness = &self.liveness;
        let Some(FlowState::Locating(locating)) =
            self.flows.get_mut(&flow).map(|entry| &mut entry.state)
        else {
            return Vec::new();
        };
        if locating.is_concluded {
            return Vec::new();
        }
        let is_awaited = |agent: &SocketAddrV4| !liveness.is_unresponsive(*agent, timeout, now);
        if locating.pending.iter().any(is_awaited) {
            return if locating.is_overdue(timeout, now) {
                self.ask_pending(flow, now)
            } else {
                Vec::new()
            };
        }
        locating.is_concluded = true;
        if locating.unsure.is_empty() {
            return self.end_if_lost(flow);
        }
        let held = std::mem::take(&mut locating.held);
        let mut actions = Vec::new();
        for packet in held {
            for agent in &locating.unsure {
                actions.push(forward_held(*agent, packet.clone()));
            }
        }
        actions
    }

    pub(super) fn on_while_locating<'a>(
        &mut self,
        head: &PacketHead,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let interval = self.options.locate_interval;
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        locating.head = *head;
        if !locating.is_concluded {
            return if locating.hold(packet) {
                Vec::new()
            } else {
                dropped(flow, DropCause::WaitingFull)
            };
        }
        if !locating.unsure.is_empty() {
            let message = Message::Forward {
                packet: Cow::Borrowed(packet),
            };
            let unsure = locating.unsure.iter();
            return unsure
                .map(|agent| Action::send(*agent, message.clone()))
                .collect();
        }
        if now.saturating_duration_since(locating.asked_at) < interval {
            return dropped(flow, DropCause::NotFound);
        }
        let previous = locating.previous;
        self.locate(head, packet, previous, now)
    }

    /// Resets a flow that no agent holds, so that its caller opens another one at once. Without an
    /// up-to-date list of agents, one that is not known may hold the flow.
    fn end_if_lost(&mut self, flow: FlowKey) -> Vec<Action<'static>> {
        let is_list_fresh = self.is_list_fresh;
        let Some(locating) = self.locating_mut(flow) else {
            return Vec::new();
        };
        let head = locating.head;
        let event = FlowEvent::NotLocated {
            flow,
            asked: locating.asked,
            silent: locating.pending.len(),
        };
        let mut actions = vec![Action::Record(event)];
        if is_list_fresh && !head.flags.contains(PacketFlags::RST) {
            self.flows.remove(&flow);
            actions.extend(reset(&head, ResetCause::FlowEnded));
        }
        actions
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
