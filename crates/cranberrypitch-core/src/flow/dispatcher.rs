//! The state machine of a balancer, which forwards each packet of a caller to an agent.

mod agent_updates;
mod budget;
mod config_checks;
mod established;
mod evacuations;
mod liveness;
mod lookup;
mod packet_buffer;
mod pending_open;
mod table;
mod unrouted;

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use self::budget::QueryBudget;
use self::established::EstablishedFlow;
use self::liveness::Liveness;
pub use self::packet_buffer::BufferedPacket;
use self::packet_buffer::EarlyPacketBuffer;
pub use self::pending_open::MAX_DECLINES;
use self::table::{FlowState, FlowTable};
use super::arrival::Arrival;
use super::cause::DropCause;
use super::directory::{AgentDirectory, AgentDirectoryOptions};
use super::event::FlowEvent;
use super::message::{Action, Message, dropped};
use super::packet::{FlowKey, PacketFlags, PacketHeader};
use super::routes::{RouteConfig, RouteTable, SYN_ATTEMPT_TIMEOUT};
use super::selection::{AgentSelector, AgentSelectorOptions};
use crate::ids::FailureDomain;

/// Settings of a [`Dispatcher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherOptions {
    /// The time limits for keeping agents.
    pub directory: AgentDirectoryOptions,
    /// The settings for selecting agents.
    pub selector: AgentSelectorOptions,
    /// The time after which a SYN that an agent has not replied to is sent to another agent; it doubles
    /// with each silent agent.
    pub open_timeout: Duration,
    /// The time that agents have to reply to a lookup query.
    pub lookup_timeout: Duration,
    /// The minimum time between two lookups of a flow that no agent holds.
    pub lookup_retry_interval: Duration,
    /// The time after which a SYN without a target is discarded, as callers give up after 1.4 s. A
    /// failed lookup is discarded after the same time.
    pub syn_lifetime: Duration,
    /// The minimum time without packets after which a flow is removed from the table; the idle timeout
    /// of the configuration applies if it is longer.
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
            syn_lifetime: SYN_ATTEMPT_TIMEOUT,
            flow_lifetime: Duration::from_secs(20),
        }
    }
}

/// Forwards each packet of a caller to the agent whose target holds the flow.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatcherOptions,
    routes: RouteTable,
    directory: AgentDirectory,
    selector: AgentSelector,
    flows: FlowTable,
    liveness: Liveness,
    query_budget: QueryBudget,
    early_packets: EarlyPacketBuffer,
    /// Whether the agent list was read from the store at least once.
    has_store_list: bool,
    /// The time up to which all changes of the agent list are applied.
    agent_list_as_of: Option<Instant>,
    /// The number of configuration checks that were announced, which selects the relaying agents.
    announced_checks: usize,
}

impl Dispatcher {
    /// Returns a dispatcher without configuration and agents for a balancer in the given failure domain.
    pub fn new(options: DispatcherOptions, domain: FailureDomain) -> Self {
        Self {
            options,
            routes: RouteTable::default(),
            directory: AgentDirectory::new(options.directory, domain),
            selector: AgentSelector::new(options.selector),
            flows: FlowTable::default(),
            liveness: Liveness::default(),
            query_budget: QueryBudget::default(),
            early_packets: EarlyPacketBuffer::default(),
            has_store_list: false,
            agent_list_as_of: None,
            announced_checks: 0,
        }
    }

    /// Returns the routes in force, which are empty before the first configuration.
    pub const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the agents that flows can be sent to.
    pub const fn directory(&self) -> &AgentDirectory {
        &self.directory
    }

    /// Returns the time since the agent list was read from the store, if it was.
    pub fn agent_list_age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.agent_list_as_of?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Returns the number of flows in the table, including those that are not established.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of targets that are ejected or on trial.
    pub fn ejected_targets(&self) -> usize {
        self.selector.ejected_targets()
    }

    /// Returns whether the balancer has a configuration and an agent list.
    pub const fn is_ready(&self) -> bool {
        self.routes.version().is_some() && self.directory.is_loaded()
    }

    /// Processes a packet of a caller.
    pub fn on_packet<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &'a [u8],
        arrival: Arrival,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        if header.is_syn_ack() || header.flags.contains(PacketFlags::BOUNCED) {
            return dropped(flow, DropCause::UnexpectedFlags);
        }
        if !self.is_ready() {
            return if self.early_packets.push(packet, arrival) {
                Vec::new()
            } else {
                dropped(flow, DropCause::NoConfiguration)
            };
        }
        if header.is_syn() && arrival.may_be_given_up() {
            return dropped(flow, DropCause::SynOutdated);
        }
        if self.routes.route(flow.service_address).is_none() {
            return self.on_unrouted(header, packet, arrival);
        }
        if header.is_syn() {
            self.on_syn(header, packet, arrival)
        } else {
            self.on_later_packet(header, packet, arrival.read_at())
        }
    }

    /// Takes out the packets that arrived before the first configuration and agent list, once both are
    /// applied, and those that have waited for a route which is known now. The caller passes them to
    /// [`Self::on_packet`].
    pub fn take_buffered_packets(&mut self, now: Instant) -> Vec<BufferedPacket> {
        if !self.is_ready() {
            return Vec::new();
        }
        let mut packets = self.early_packets.take();
        packets.extend(self.take_routed_packets());
        for buffered in &mut packets {
            buffered.arrival = buffered.arrival.kept_until(now);
        }
        packets
    }

    /// Applies a configuration, or records that it is older than the one in force.
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

    /// Records that the target of an agent accepted a flow, or is presumed to hold it.
    pub fn on_open_accepted(&mut self, agent: SocketAddrV4, flow: FlowKey, now: Instant) {
        self.on_agent_message(agent, now);
        self.selector.on_open_accepted(agent, now);
        let service = match self.flows.get(&flow).map(|entry| &entry.state) {
            // If several targets accept, the caller most likely uses the first one.
            Some(FlowState::Established(_) | FlowState::AwaitingRoute(_)) => return,
            Some(FlowState::Opening(opening)) => Some(opening.service_tag()),
            Some(FlowState::LookingUp(lookup)) => lookup.service,
            None => None,
        };
        let established = EstablishedFlow { agent, service };
        self.flows
            .insert(flow, FlowState::Established(established), now);
    }

    /// Processes a packet that an agent returned because its target does not hold the flow.
    pub fn on_packet_returned(
        &mut self,
        agent: SocketAddrV4,
        header: &PacketHeader,
        packet: &[u8],
        now: Instant,
    ) -> Vec<Action<'static>> {
        let flow = header.flow_from_caller();
        self.on_agent_message(agent, now);
        match self.flows.get_mut(&flow).map(|entry| &mut entry.state) {
            Some(FlowState::Established(holder)) if holder.agent != agent => {
                let message = Message::Forward {
                    packet: Cow::Owned(packet.to_vec()),
                };
                vec![Action::send(holder.agent, message)]
            }
            Some(FlowState::LookingUp(_)) => self.on_holder_ruled_out(agent, flow, packet, now),
            // An agent returns no SYN, so the packet shows nothing about its transmissions.
            Some(FlowState::AwaitingRoute(_)) => self.on_unrouted(header, packet, Arrival::at(now)),
            state => {
                let service = match state {
                    Some(FlowState::Established(holder)) => holder.service,
                    Some(FlowState::Opening(opening)) => Some(opening.service_tag()),
                    _ => None,
                };
                let previous = EstablishedFlow { agent, service };
                self.start_lookup(header, packet, Some(previous), now)
            }
        }
    }

    /// Processes timeouts: removes expired agents and flows, retries SYNs and lookups, and sends the
    /// batched queries.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for agent in self.directory.on_tick(now) {
            self.selector.remove(agent);
            self.liveness.remove(agent);
            actions.push(Action::RecordEvent(FlowEvent::TargetGone { agent }));
        }
        let changes = self.selector.update_outliers(&self.directory, now);
        let recorded = |change| Action::RecordEvent(FlowEvent::from(change));
        actions.extend(changes.into_iter().map(recorded));
        for flow in self.flows.pending_flows() {
            actions.extend(self.on_pending_flow_tick(flow, now));
        }
        actions.extend(self.send_query_batches(now));
        let lifetime = self.options.flow_lifetime.max(self.routes.idle_timeout());
        self.flows.sweep(lifetime, now);
        actions
    }

    /// Returns whether a flow waits for a reply, so that [`Self::on_tick`] is due at short intervals.
    pub fn has_pending_flows(&self) -> bool {
        self.flows.has_pending_flows()
    }

    /// Processes the timeouts of a flow that is not established.
    fn on_pending_flow_tick(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        match self.flows.get(&flow).map(|entry| &entry.state) {
            Some(FlowState::Opening(opening))
                if opening.is_timed_out(self.options.open_timeout, now) =>
            {
                return self.retry_open(flow, now);
            }
            Some(FlowState::LookingUp(lookup)) => {
                if lookup.is_timed_out(self.options.lookup_timeout, now) {
                    return self.advance_lookup(flow, now);
                }
                if lookup.is_repeat_due(now) {
                    return self.repeat_queries(flow, now);
                }
                if lookup.is_expired(self.options.syn_lifetime, now) {
                    self.flows.remove(&flow);
                }
            }
            Some(FlowState::AwaitingRoute(wait))
                if wait.is_expired(self.options.syn_lifetime, now) =>
            {
                self.flows.remove(&flow);
                return dropped(flow, DropCause::RouteUnknown);
            }
            _ => {}
        }
        Vec::new()
    }

    /// Returns whether no answer of an agent is expected: its registration has ended, and it did not answer
    /// the last query. The silence of a registered agent shows nothing: it may be slow or start again, and
    /// its target holds its flows.
    fn is_unresponsive(&self, agent: SocketAddrV4, now: Instant) -> bool {
        let timeout = self.options.lookup_timeout;
        self.directory.has_lapsed(agent, now)
            && self.liveness.is_query_unanswered(agent, timeout, now)
    }

    /// Records that an agent is responsive.
    fn on_agent_message(&mut self, agent: SocketAddrV4, now: Instant) {
        self.selector.on_reply(agent);
        self.liveness.on_message(agent, now);
    }

    /// Forwards a packet to the agent that holds the flow, or starts a lookup if the agent was removed, or is
    /// silent and its registration has ended or excludes the flow.
    fn forward_to_holder<'a>(
        &mut self,
        holder: EstablishedFlow,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let agent = holder.agent;
        let timeout = self.options.lookup_timeout;
        let flow = header.flow_from_caller();
        let is_doubtful =
            self.directory.has_lapsed(agent, now) || self.directory.excludes(agent, &flow, now);
        let is_silent = self.liveness.is_query_unanswered(agent, timeout, now);
        if self.directory.agent(agent).is_none() || is_doubtful && is_silent {
            self.selector.on_open_timeout(agent, now);
            return self.start_lookup(header, packet, Some(holder), now);
        }
        let mut actions = forward(agent, packet);
        if is_doubtful && self.liveness.is_probe_due(agent, timeout, now) {
            self.liveness.on_query(agent, now);
            actions.push(Action::send(agent, Message::lookup(header)));
        }
        actions
    }

    /// Processes a packet other than a SYN.
    fn on_later_packet<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return self.start_lookup(header, packet, None, now);
        };
        entry.last_packet_at = now;
        match &mut entry.state {
            FlowState::Established(holder) => {
                let holder = *holder;
                self.forward_to_holder(holder, header, packet, now)
            }
            // The caller follows a target that accepted the flow: the last agent, unless that is silent.
            FlowState::Opening(opening) => {
                opening.is_accepted = true;
                if let Some(agent) = opening.awaited_agent() {
                    return forward(agent, packet);
                }
                let previous = opening.last_attempt();
                self.start_lookup(header, packet, previous, now)
            }
            FlowState::LookingUp(_) => self.on_packet_during_lookup(header, packet, now),
            FlowState::AwaitingRoute(_) => self.start_lookup(header, packet, None, now),
        }
    }
}

fn forward(agent: SocketAddrV4, packet: &[u8]) -> Vec<Action<'_>> {
    let packet = Cow::Borrowed(packet);
    vec![Action::send(agent, Message::Forward { packet })]
}
