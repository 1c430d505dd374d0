//! Lookup of the agent of a flow that is not in a balancer's flow table.
//!
//! The balancer queries agents in stages: those that rank highest for the flow in its own failure
//! domain, those that rank highest in other failure domains, all agents of the services that the
//! address is or was routed to, and all remaining agents.

mod not_found;
pub(super) mod state;

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::Instant;

use self::state::{FlowLookup, Progress, Stage, forward_buffered};
use super::Dispatcher;
use super::established::EstablishedFlow;
use super::table::FlowState;
use crate::flow::cause::DropCause;
use crate::flow::directory::AgentEntry;
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, LookupAnswer, LookupQuery, Message, dropped};
use crate::flow::packet::{FlowKey, PacketHeader};
use crate::flow::rendezvous;

/// The number of agents in each of the first two stages: one more than the candidates for a new flow,
/// as an agent may have been added since the flow was opened.
const TOP_RANKED_AGENTS: usize = 4;

/// The maximum number of queries in a message, which fit a datagram of 1,200 bytes.
const MAX_BATCH_QUERIES: usize = 64;

impl Dispatcher {
    /// Starts the lookup of a flow. `previous` is where its packets were forwarded to before, if they
    /// were; that agent is queried with the first stage.
    pub(super) fn start_lookup<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &[u8],
        previous: Option<EstablishedFlow>,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let mut lookup = FlowLookup::new(*header, packet, now);
        if let Some(previous) = previous {
            lookup.service = previous.service;
            lookup.unanswered.insert(previous.agent);
            lookup.queried.insert(previous.agent);
        }
        let state = FlowState::LookingUp(Box::new(lookup));
        self.flows.insert(flow, state, now);
        self.query_stage(flow, now)
    }

    /// Queries the agents of the current stage and those that have not replied. Skips stages without
    /// an agent to wait for.
    fn query_stage<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let mut actions = Vec::new();
        loop {
            let Some(lookup) = self.lookup(flow) else {
                return actions;
            };
            let stage = lookup.stage;
            let agents = self.agents_of_stage(stage, &flow, now);
            let Some(lookup) = self.lookup_mut(flow) else {
                return actions;
            };
            let has_new = lookup.begin_stage(&agents, now);
            let next = stage.next();
            if !self.is_awaiting_reply(flow, now)
                && let Some(next) = next
                && let Some(lookup) = self.lookup_mut(flow)
            {
                lookup.stage = next;
                continue;
            }
            if stage == Stage::Service {
                self.query_last_stage_ahead(flow, now);
            }
            // Agents that were queried ahead of this stage need no second query yet.
            let is_due = |lookup: &FlowLookup| {
                lookup.is_timed_out(self.options.lookup_timeout, now) || stage != Stage::All
            };
            if has_new || self.lookup(flow).is_some_and(is_due) {
                actions.extend(self.query_unanswered(flow, now));
            }
            if stage.is_unbounded() && self.not_held_evidence(flow).is_none() {
                actions.push(Action::RefreshAgents);
            }
            if !self.is_awaiting_reply(flow, now) {
                actions.extend(self.finish_stage(flow, now));
            }
            return actions;
        }
    }

    /// Returns whether a responsive agent of the stage has not replied yet.
    fn is_awaiting_reply(&self, flow: FlowKey, now: Instant) -> bool {
        let is_awaited = |agent: &SocketAddrV4| {
            !self.is_unresponsive(*agent, now)
                && !self.directory.has_exited(*agent, now)
                && !self.is_ruled_out_by_list(*agent, flow, now)
        };
        self.lookup(flow).is_some_and(|lookup| {
            let mut of_stage = lookup.unanswered.difference(&lookup.queried_ahead);
            of_stage.any(is_awaited)
        })
    }

    /// Returns whether a list that was read after the last agent was queried shows that the target of an agent
    /// does not hold the flow.
    fn is_ruled_out_by_list(&self, agent: SocketAddrV4, flow: FlowKey, now: Instant) -> bool {
        self.not_held_evidence(flow).is_some() && self.directory.excludes(agent, &flow, now)
    }

    /// Adds the agents of the last stage to the queried ones, ahead of that stage.
    fn query_last_stage_ahead(&mut self, flow: FlowKey, now: Instant) {
        let agents = self.agents_of_stage(Stage::All, &flow, now);
        if let Some(lookup) = self.lookup_mut(flow) {
            for agent in agents {
                if lookup.queried.insert(agent) {
                    lookup.unanswered.insert(agent);
                    lookup.queried_ahead.insert(agent);
                    lookup.last_agent_added_at = now;
                }
            }
        }
    }

    /// Returns the agents of a stage whose targets may hold the flow.
    fn agents_of_stage(&self, stage: Stage, flow: &FlowKey, now: Instant) -> Vec<SocketAddrV4> {
        let address = flow.service_address;
        let may_hold = |agent: &&AgentEntry| self.directory.may_hold_flow(agent, flow, now);
        let holders = || self.directory.agents().filter(may_hold);
        let routed =
            || holders().filter(move |a| self.routes.was_routed_to(address, a.service_tag));
        let top_ranked = |is_local: bool| {
            let agents = routed().filter(move |agent| agent.is_local == is_local);
            rendezvous::top_ranked(flow, agents, TOP_RANKED_AGENTS)
        };
        let agents: Vec<&AgentEntry> = match stage {
            Stage::Local => top_ranked(true),
            Stage::Remote => top_ranked(false),
            Stage::Service => routed().collect(),
            Stage::All => holders().collect(),
        };
        agents.into_iter().map(|a| a.record.address).collect()
    }

    /// Queries the agents that have not replied. Queries of unbounded stages are batched, and are left
    /// to a later timeout if they exceed the budget.
    fn query_unanswered<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        lookup.queried_at = now;
        lookup.is_repeated = false;
        let unanswered: Vec<_> = lookup.unanswered.iter().copied().collect();
        self.query(flow, unanswered, now)
    }

    /// Repeats the queries to agents that have not replied but are expected to.
    pub(super) fn repeat_queries<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        lookup.is_repeated = true;
        let unanswered: Vec<_> = lookup.unanswered.iter().copied().collect();
        let responsive = unanswered.into_iter();
        let responsive = responsive.filter(|agent| !self.is_unresponsive(*agent, now));
        let responsive = responsive.collect();
        self.query(flow, responsive, now)
    }

    fn query<'a>(
        &mut self,
        flow: FlowKey,
        agents: Vec<SocketAddrV4>,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        let is_unbounded = lookup.stage.is_unbounded();
        let message = Message::lookup(&lookup.header);
        let ack_number = lookup.header.ack_number;
        if is_unbounded {
            // Queries over the budget are sent after the next timeout.
            if self.query_budget.try_take(agents.len(), now) {
                let query = LookupQuery { flow, ack_number };
                self.query_budget.add_to_batches(&agents, query);
            }
            return Vec::new();
        }
        let query = |agent| {
            self.liveness.on_query(agent, now);
            Action::send(agent, message.clone())
        };
        agents.into_iter().map(query).collect()
    }

    /// Sends the batched queries, up to [`MAX_BATCH_QUERIES`] to an agent in one message.
    pub(super) fn send_query_batches(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for (agent, queries) in self.query_budget.take_batches() {
            self.liveness.on_query(agent, now);
            let batches = queries.chunks(MAX_BATCH_QUERIES);
            let send = |queries: &[_]| Action::send(agent, Message::LookupBatch(queries.into()));
            actions.extend(batches.map(send));
        }
        actions
    }

    /// Processes an agent's reply to a lookup query.
    pub fn on_lookup_reply(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        answer: LookupAnswer,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.on_agent_message(agent, now);
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        match answer {
            LookupAnswer::Held => return self.on_holder_found(agent, flow, now),
            LookupAnswer::NotHeld => lookup.rule_out(agent),
            LookupAnswer::MayBeHeld => {
                lookup.unanswered.remove(&agent);
                if !lookup.possible_holders.contains(&agent) {
                    lookup.possible_holders.push(agent);
                }
            }
        }
        self.advance_lookup(flow, now)
    }

    /// Ends a lookup and forwards the buffered packets to the agent that holds the flow.
    fn on_holder_found(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        let forwarded = lookup.forward_buffered_to(agent);
        let event = FlowEvent::Located {
            flow,
            agent,
            queried_agents: lookup.queried.len(),
            elapsed: now.saturating_duration_since(lookup.started_at),
        };
        let service = lookup.service;
        let established = EstablishedFlow { agent, service };
        self.flows
            .insert(flow, FlowState::Established(established), now);
        let mut actions = vec![Action::RecordEvent(event)];
        actions.extend(forwarded);
        actions
    }

    /// Processes a packet that a possible holder returned, so that its target does not hold the flow.
    pub(super) fn on_holder_ruled_out(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowKey,
        packet: &[u8],
        now: Instant,
    ) -> Vec<Action<'static>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        lookup.rule_out(agent);
        lookup.buffered_packets.push_distinct(packet);
        let is_probing = matches!(lookup.progress, Progress::Probing { .. });
        if is_probing && lookup.possible_holders_of_stage().is_empty() {
            return self.start_next_stage(flow, now);
        }
        self.advance_lookup(flow, now)
    }

    /// Finishes the stage once all its agents have replied, timed out or become unresponsive.
    pub(super) fn advance_lookup(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        let timeout = self.options.lookup_timeout;
        let Some(lookup) = self.lookup(flow) else {
            return Vec::new();
        };
        let is_timed_out = lookup.is_timed_out(timeout, now);
        match lookup.progress {
            Progress::Probing { .. } if is_timed_out => self.start_next_stage(flow, now),
            Progress::Probing { .. } | Progress::NotFound { .. } => Vec::new(),
            Progress::Querying => {
                let is_awaiting_reply = self.is_awaiting_reply(flow, now);
                if is_awaiting_reply && !is_timed_out {
                    return Vec::new();
                }
                // Possible holders and agents that were added since do not wait for an agent that is
                // silent for longer, such as one that restarts.
                let has_possible_holders = !lookup.possible_holders_of_stage().is_empty();
                let is_last_stage = lookup.stage.next().is_none();
                if is_awaiting_reply && is_last_stage && !has_possible_holders {
                    return self.query_stage(flow, now);
                }
                self.finish_stage(flow, now)
            }
        }
    }

    /// Forwards the buffered packets to the possible holders of the stage, or starts the next stage if
    /// there are none.
    fn finish_stage<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        let holders = lookup.possible_holders_of_stage();
        if holders.is_empty() {
            return self.start_next_stage(flow, now);
        }
        lookup.progress = Progress::Probing { since: now };
        let packets = lookup.buffered_packets.take();
        let copies = |packet: Box<[u8]>| {
            let to_agent = move |agent: &SocketAddrV4| forward_buffered(*agent, packet.clone());
            holders.iter().map(to_agent)
        };
        packets.into_iter().flat_map(copies).collect()
    }

    fn start_next_stage<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        lookup.progress = Progress::Querying;
        match lookup.stage.next() {
            Some(next) => {
                lookup.stage = next;
                self.query_stage(flow, now)
            }
            None if lookup.possible_holders.is_empty() => self.on_not_found(flow, now),
            None => {
                lookup.progress = Progress::Probing { since: now };
                Vec::new()
            }
        }
    }

    /// Processes a packet of a flow whose lookup is in progress or has failed.
    pub(super) fn on_packet_during_lookup<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let interval = self.options.lookup_retry_interval;
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        lookup.header = *header;
        match lookup.progress {
            Progress::Querying => {
                if lookup.buffered_packets.push_distinct(packet) {
                    Vec::new()
                } else {
                    dropped(flow, DropCause::BufferFull)
                }
            }
            Progress::Probing { .. } => {
                let message = Message::Forward {
                    packet: Cow::Borrowed(packet),
                };
                let holders = lookup.possible_holders_of_stage();
                holders
                    .iter()
                    .map(|agent| Action::send(*agent, message.clone()))
                    .collect()
            }
            Progress::NotFound { since } if now.saturating_duration_since(since) < interval => {
                dropped(flow, DropCause::FlowNotFound)
            }
            Progress::NotFound { .. } => self.start_lookup(header, packet, None, now),
        }
    }

    fn lookup(&self, flow: FlowKey) -> Option<&FlowLookup> {
        match &self.flows.get(&flow)?.state {
            FlowState::LookingUp(lookup) => Some(lookup),
            _ => None,
        }
    }

    fn lookup_mut(&mut self, flow: FlowKey) -> Option<&mut FlowLookup> {
        match &mut self.flows.get_mut(&flow)?.state {
            FlowState::LookingUp(lookup) => Some(lookup),
            _ => None,
        }
    }
}
