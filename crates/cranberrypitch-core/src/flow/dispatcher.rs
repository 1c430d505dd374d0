//! The decisions of a balancer: where each packet of a caller goes.

mod budget;
mod early;
mod liveness;
mod locating;
mod opening;
mod table;

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use self::budget::QuestionBudget;
use self::early::EarlyPackets;
use self::liveness::Liveness;
pub use self::opening::MAX_DECLINES;
use self::table::{FlowState, FlowTable};
use super::directory::{AgentDirectory, AgentDirectoryOptions, AgentRecord};
use super::event::{DropCause, FlowEvent, ResetCause};
use super::load::AgentLoad;
use super::message::{Action, Message, dropped, reset};
use super::packet::{FlowKey, PacketFlags, PacketHeader};
use super::routes::{RouteConfig, RouteTable};
use super::selection::{AgentSelector, AgentSelectorOptions};
use crate::ids::FailureDomain;

/// Agents that one message names at most.
const MAX_INTRODUCED: usize = 16;

/// Settings of a [`Dispatcher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherOptions {
    /// How agents are judged.
    pub directory: AgentDirectoryOptions,
    /// How agents are chosen.
    pub selector: AgentSelectorOptions,
    /// How long an agent may leave an opening packet unanswered before another one gets it; it doubles
    /// with each agent.
    pub open_timeout: Duration,
    /// How long agents may leave a question for a flow unanswered.
    pub lookup_timeout: Duration,
    /// The time between two rounds of questions for a flow that no agent holds.
    pub lookup_retry_interval: Duration,
    /// How long an opening packet waits for the first target; callers give up after 1.4 s.
    pub syn_lifetime: Duration,
    /// The least time without packets after which a flow is forgotten.
    pub flow_lifetime: Duration,
}

impl Default for DispatcherOptions {
    fn default() -> Self {
        Self {
            directory: AgentDirectoryOptions::default(),
            selector: AgentSelectorOptions::default(),
            open_timeout: Duration::from_millis(60),
            lookup_timeout: Duration::from_millis(80),
            lookup_retry_interval: Duration::from_millis(250),
            syn_lifetime: Duration::from_millis(1400),
            flow_lifetime: Duration::from_secs(20),
        }
    }
}

/// Sends each packet of a caller to the agent whose target holds the flow.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatcherOptions,
    routes: RouteTable,
    directory: AgentDirectory,
    selector: AgentSelector,
    flows: FlowTable,
    liveness: Liveness,
    questions: QuestionBudget,
    early: EarlyPackets,
    /// Whether the store's list of agents was read, at least once.
    has_list: bool,
    /// All changes of the list of agents before this time are taken in.
    list_as_of: Option<Instant>,
}

impl Dispatcher {
    /// Returns a dispatcher that knows no configuration and no agent.
    pub fn new(options: DispatcherOptions, domain: FailureDomain) -> Self {
        Self {
            options,
            routes: RouteTable::default(),
            directory: AgentDirectory::new(options.directory, domain),
            selector: AgentSelector::new(options.selector),
            flows: FlowTable::default(),
            liveness: Liveness::default(),
            questions: QuestionBudget::default(),
            early: EarlyPackets::default(),
            has_list: false,
            list_as_of: None,
        }
    }

    /// Returns the routes in force.
    pub const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the known agents.
    pub const fn directory(&self) -> &AgentDirectory {
        &self.directory
    }

    /// Returns the number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the balancer can serve callers.
    pub const fn is_ready(&self) -> bool {
        self.routes.version().is_some() && self.directory.is_loaded()
    }

    /// Takes in a packet of a caller.
    pub fn on_packet<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        if head.is_syn_ack() || head.flags.contains(PacketFlags::BOUNCED) {
            return dropped(flow, DropCause::UnexpectedFlags);
        }
        if !self.is_ready() {
            return if self.early.hold(packet) {
                Vec::new()
            } else {
                dropped(flow, DropCause::NoConfiguration)
            };
        }
        if self.routes.route(flow.service_address).is_none() {
            return self.on_unrouted(head);
        }
        if head.is_syn() {
            self.on_opening(head, packet, now)
        } else {
            self.on_later(head, packet, now)
        }
    }

    /// Returns the packets that arrived before the first configuration and list of agents, for
    /// [`Self::on_packet`], once both are there.
    pub fn take_buffered_packets(&mut self) -> Vec<Box<[u8]>> {
        if self.is_ready() {
            self.early.take()
        } else {
            Vec::new()
        }
    }

    /// Takes in a configuration.
    pub fn on_config(&mut self, config: &RouteConfig) -> Vec<Action<'static>> {
        let version = config.version;
        let event = if self.routes.apply(config) {
            let route_count = config.routes.len();
            FlowEvent::ConfigurationInForce {
                version,
                route_count,
            }
        } else if self.routes.version() == Some(version) {
            return Vec::new();
        } else {
            FlowEvent::ConfigurationStale { version }
        };
        vec![Action::RecordEvent(event)]
    }

    /// Takes in the store's whole list of agents.
    pub fn on_agent_list(
        &mut self,
        records: Vec<AgentRecord>,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.has_list = true;
        self.take_list(records, now)
    }

    fn take_list(&mut self, records: Vec<AgentRecord>, now: Instant) -> Vec<Action<'static>> {
        let changed = self.directory.on_agent_list(records, now);
        let mut actions: Vec<_> = changed.iter().map(target_changed).collect();
        actions.extend(self.place_waiting(now));
        actions
    }

    /// Takes in the agents that another balancer knows, while the store does not answer. Agents that are
    /// known stay as they are, as the other balancer may know less of them.
    pub fn on_snapshot(&mut self, records: Vec<AgentRecord>, now: Instant) -> Vec<Action<'static>> {
        if !self.directory.is_loaded() {
            return self.take_list(records, now);
        }
        let is_unknown = |record: &AgentRecord| self.directory.agent(record.address).is_none();
        let unknown: Vec<_> = records.into_iter().filter(is_unknown).collect();
        unknown
            .iter()
            .flat_map(|record| self.on_registered(record, now))
            .collect()
    }

    /// Returns the agents for a balancer that starts while the store does not answer, or nothing while
    /// this one does not know them itself.
    pub fn snapshot(&self) -> Option<Vec<AgentRecord>> {
        self.is_ready().then(|| self.directory.records())
    }

    /// Takes in one registration of the store.
    pub fn on_registered(&mut self, record: &AgentRecord, now: Instant) -> Vec<Action<'static>> {
        if !self.directory.on_registered(record.clone(), now) {
            return Vec::new();
        }
        let mut actions = vec![target_changed(record)];
        actions.extend(self.place_waiting(now));
        actions
    }

    /// Notes that a registration of the store ended.
    pub fn on_unregistered(&mut self, agent: SocketAddrV4, now: Instant) {
        self.directory.on_unregistered(agent, now);
    }

    /// Takes in a report of an agent.
    pub fn on_report(
        &mut self,
        record: &AgentRecord,
        load: AgentLoad,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.on_heard(record.address, now);
        let mut actions: Vec<_> = self.introduction(record.address).into_iter().collect();
        if self.directory.on_report(record.clone(), load, now) {
            actions.push(target_changed(record));
            actions.extend(self.place_waiting(now));
        }
        actions
    }

    /// Returns the answer to an agent that the store does not list: it can't register, as while the
    /// store is down, and knows few balancers.
    fn introduction(&self, agent: SocketAddrV4) -> Option<Action<'static>> {
        if self.directory.is_listed(agent) {
            return None;
        }
        let others = self.directory.agents().map(|known| known.record.address);
        let others = others.filter(|other| *other != agent).take(MAX_INTRODUCED);
        Some(Action::send(agent, Message::AgentList(others.collect())))
    }

    /// Notes that the target of an agent accepted a flow.
    pub fn on_open_accepted(&mut self, agent: SocketAddrV4, flow: FlowKey, now: Instant) {
        self.on_heard(agent, now);
        let Some(entry) = self.flows.get(&flow) else {
            return self.flows.insert(flow, FlowState::Held(agent), now);
        };
        match &entry.state {
            // The first target that accepts is the one that the caller most likely follows.
            FlowState::Held(_) => {}
            FlowState::Opening(_) | FlowState::Locating(_) => {
                self.flows.insert(flow, FlowState::Held(agent), now);
            }
        }
    }

    /// Takes in a packet that an agent returned because its target does not hold the flow.
    pub fn on_packet_returned(
        &mut self,
        agent: SocketAddrV4,
        head: &PacketHeader,
        packet: &[u8],
        now: Instant,
    ) -> Vec<Action<'static>> {
        let flow = head.flow_from_caller();
        self.on_heard(agent, now);
        match self.flows.get_mut(&flow).map(|entry| &mut entry.state) {
            Some(FlowState::Held(holder)) if *holder != agent => {
                let message = Message::Forward {
                    packet: Cow::Owned(packet.to_vec()),
                };
                vec![Action::send(*holder, message)]
            }
            Some(FlowState::Locating(_)) => self.on_not_held(agent, flow, packet, now),
            _ => self.locate(head, packet, Some(agent), now),
        }
    }

    /// Lets time pass: gives up silent agents and forgets old flows.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for agent in self.directory.on_tick(now) {
            self.selector.remove(agent);
            self.liveness.forget(agent);
            actions.push(Action::RecordEvent(FlowEvent::TargetGone { agent }));
        }
        for flow in self.flows.unsettled() {
            actions.extend(self.on_unsettled(flow, now));
        }
        actions.extend(self.ask_gathered(now));
        let lifetime = self.options.flow_lifetime.max(self.routes.idle_timeout());
        self.flows.sweep(lifetime, now);
        actions
    }

    /// Returns whether a flow waits for an answer, so that ticks are due soon.
    pub fn has_pending_flows(&self) -> bool {
        self.flows.has_pending_flows()
    }

    fn on_unsettled(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        match self.flows.get(&flow).map(|entry| &entry.state) {
            Some(FlowState::Opening(opening))
                if opening.is_overdue(self.options.open_timeout, now) =>
            {
                return self.reopen(flow, now);
            }
            Some(FlowState::Locating(locating)) => {
                if locating.is_overdue(self.options.lookup_timeout, now) {
                    return self.conclude(flow, now);
                }
                if locating.is_abandoned(self.options.syn_lifetime, now) {
                    self.flows.remove(&flow);
                }
            }
            _ => {}
        }
        Vec::new()
    }

    fn on_heard(&mut self, agent: SocketAddrV4, now: Instant) {
        self.selector.on_reply(agent);
        self.liveness.on_heard(agent, now);
    }

    /// Passes on a packet of a flow that an agent holds, unless the agent is gone.
    fn on_held<'a>(
        &mut self,
        agent: SocketAddrV4,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let timeout = self.options.lookup_timeout;
        if self.directory.agent(agent).is_none()
            || self.liveness.is_unresponsive(agent, timeout, now)
        {
            self.selector.on_open_timeout(agent, now);
            return self.locate(head, packet, Some(agent), now);
        }
        let mut actions = forward(agent, packet);
        if self.liveness.is_question_due(agent, timeout, now) {
            self.liveness.on_asked(agent, timeout, now);
            actions.push(Action::send(agent, Message::lookup(head)));
        }
        actions
    }

    fn on_unrouted<'a>(&mut self, head: &PacketHeader) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        self.flows.remove(&flow);
        if head.flags.contains(PacketFlags::RST) {
            return Vec::new();
        }
        reset(head, ResetCause::NoRoute)
    }

    fn on_later<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return self.locate(head, packet, None, now);
        };
        entry.used_at = now;
        match &mut entry.state {
            FlowState::Held(agent) => {
                let agent = *agent;
                self.on_held(agent, head, packet, now)
            }
            FlowState::Opening(opening) => {
                let target = opening.target;
                target.map_or_else(Vec::new, |agent| forward(agent, packet))
            }
            FlowState::Locating(_) => self.on_while_locating(head, packet, now),
        }
    }
}

fn forward(agent: SocketAddrV4, packet: &[u8]) -> Vec<Action<'_>> {
    let packet = Cow::Borrowed(packet);
    vec![Action::send(agent, Message::Forward { packet })]
}

fn target_changed<'a>(record: &AgentRecord) -> Action<'a> {
    Action::RecordEvent(FlowEvent::TargetChanged {
        agent: record.address,
        service: record.service.clone(),
        incarnation: record.incarnation,
        state: record.state,
    })
}
