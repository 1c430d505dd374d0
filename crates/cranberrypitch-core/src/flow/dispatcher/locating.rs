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

/// Rounds in which no agent holds a flow before the flow is reset, if an agent was silent.
const ROUNDS_TO_RESET: u32 = 2;

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
    rounds: u32,
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
        let locating = Locating {
            head: *head,
            held: vec![packet.into()],
            pending: FastSet::default(),
            unsure: Vec::new(),
            previous,
            asked: 0,
            asked_at: now,
            rounds: 0,
            is_concluded: false,
        };
        self.ask(head, locating, now)
    }

    fn ask<'a>(
        &mut self,
        head: &PacketHead,
        mut locating: Locating,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let routed = self
            .directory
            .all()
            .filter(|agent| self.routes.was_routed_to(flow.service_address, agent.tag))
            .map(|agent| agent.record.address);
        locating.pending = routed.chain(locating.previous).collect();
        locating.asked = locating.pending.len();
        locating.asked_at = now;
        locating.is_concluded = false;
        let message = Message::Locate {
            flow,
            acknowledged: head.acknowledged,
        };
        let asked = locating.pending.iter();
        let actions = asked
            .map(|agent| Action::send(*agent, message.clone()))
            .collect();
        let state = FlowState::Locating(Box::new(locating));
        self.flows.insert(flow, state, now);
        actions
    }

    /// Takes in an agent's answer to a question for a flow.
    pub fn on_located(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        answer: LocateAnswer,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Locating(locating) = &mut entry.state else {
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

    /// Decides what becomes of a flow once every agent has answered or is overdue.
    pub(super) fn conclude(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        let timeout = self.options.locate_timeout;
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Locating(locating) = &mut entry.state else {
            return Vec::new();
        };
        let is_due = locating.pending.is_empty() || locating.is_overdue(timeout, now);
        if !is_due || locating.is_concluded {
            return Vec::new();
        }
        locating.is_concluded = true;
        let held = std::mem::take(&mut locating.held);
        if locating.unsure.is_empty() {
            locating.rounds += 1;
            let (asked, silent) = (locating.asked, locating.pending.len());
            let event = Action::Record(FlowEvent::NotLocated {
                flow,
                asked,
                silent,
            });
            return std::iter::once(event)
                .chain(self.end_if_lost(flow))
                .collect();
        }
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
        let Some(FlowState::Locating(mut locating)) = self.flows.remove(&flow) else {
            return Vec::new();
        };
        if !locating.is_concluded {
            let is_held = locating.hold(packet);
            self.put_back(flow, locating, now);
            return if is_held {
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
            let actions = unsure
                .map(|agent| Action::send(*agent, message.clone()))
                .collect();
            self.put_back(flow, locating, now);
            return actions;
        }
        if self.is_lost(&locating) && !head.flags.contains(PacketFlags::RST) {
            return reset(head, ResetCause::FlowEnded);
        }
        locating.head = *head;
        let elapsed = now.saturating_duration_since(locating.asked_at);
        if elapsed < self.options.locate_interval {
            self.put_back(flow, locating, now);
            return dropped(flow, DropCause::NotFound);
        }
        locating.hold(packet);
        self.ask(head, *locating, now)
    }

    /// Resets a flow that no agent can hold, so that its caller opens another one at once.
    fn end_if_lost(&mut self, flow: FlowKey) -> Vec<Action<'static>> {
        let Some(entry) = self.flows.get(&flow) else {
            return Vec::new();
        };
        let FlowState::Locating(locating) = &entry.state else {
            return Vec::new();
        };
        let head = locating.head;
        if !self.is_lost(locating) || head.flags.contains(PacketFlags::RST) {
            return Vec::new();
        }
        self.flows.remove(&flow);
        reset(&head, ResetCause::FlowEnded)
    }

    /// Returns whether no agent can hold the flow: the list of agents is up to date, all of them
    /// said so, and those that did not answer are gone and had time to.
    fn is_lost(&self, locating: &Locating) -> bool {
        let is_known = |agent: &SocketAddrV4| self.directory.agent(*agent).is_some();
        let rounds = if locating.pending.is_empty() {
            1
        } else {
            ROUNDS_TO_RESET
        };
        self.is_list_fresh
            && locating.rounds >= rounds
            && !locating.pending.iter().any(is_known)
    }

    fn put_back(&mut self, flow: FlowKey, locating: Box<Locating>, now: Instant) {
        self.flows.insert(flow, FlowState::Locating(locating), now);
    }
}

fn forward_held<'a>(agent: SocketAddrV4, packet: Box<[u8]>) -> Action<'a> {
    let packet = Cow::Owned(packet.into_vec());
    Action::send(agent, Message::Forward { packet })
}
