//! Opening of new flows at a balancer.

pub(super) mod state;

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

pub use self::state::MAX_DECLINES;
use self::state::PendingOpen;
use super::Dispatcher;
use super::table::FlowState;
use crate::flow::arrival::Arrival;
use crate::flow::cause::RefusalCause;
use crate::flow::cause::{DropCause, ResetCause};
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, Message, OpenParams, dropped, reset};
use crate::flow::packet::{FlowKey, PacketHeader};
use crate::flow::reset_evidence::ResetEvidence;
use crate::flow::routes::{RequestLimits, SYN_ATTEMPT_TIMEOUT};
use crate::flow::selection::{SelectedAgent, SelectionRequest};
use crate::flow::syn_transmissions::SynTransmissions;
use crate::ids::ServiceTag;

/// The number of pending flows up to which a SYN waits for the first target instead of being reset.
const MAX_PENDING_FLOWS: usize = 512;

/// The lower bound of the maximum wait of a SYN at an agent, as in the options of agents.
const MIN_SYN_WAIT: Duration = Duration::from_millis(400);

impl Dispatcher {
    /// Processes a SYN of a caller.
    pub(super) fn on_syn<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &'a [u8],
        arrival: Arrival,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        self.add_transmission(&flow, header);
        match self.flows.get(&flow).map(|entry| &entry.state) {
            Some(FlowState::Established(holder)) => {
                let service = holder.service.or_else(|| self.routed_service(&flow));
                self.resend_open(holder.agent, service, flow, packet)
            }
            Some(FlowState::Opening(opening)) => match opening.agent {
                Some(agent) => self.resend_open(agent, Some(opening.service_tag()), flow, packet),
                None => Vec::new(),
            },
            Some(FlowState::LookingUp(_)) => dropped(flow, DropCause::FlowNotFound),
            Some(FlowState::AwaitingRoute(_)) | None => self.open_flow(header, packet, arrival),
        }
    }

    /// Records that this balancer got a further transmission of the SYN of a flow that is being opened.
    fn add_transmission(&mut self, flow: &FlowKey, header: &PacketHeader) {
        if let Some(entry) = self.flows.get_mut(flow)
            && let FlowState::Opening(opening) = &mut entry.state
            && let Some(transmissions) = &mut opening.transmissions
        {
            transmissions.add(header);
        }
    }

    /// Extends the timeout of a flow whose SYN its agent has queued.
    pub fn on_open_queued(&mut self, agent: SocketAddrV4, flow: FlowKey, now: Instant) {
        self.on_agent_message(agent, now);
        if let Some(entry) = self.flows.get_mut(&flow)
            && let FlowState::Opening(opening) = &mut entry.state
            && opening.agent == Some(agent)
        {
            opening.sent_at = now + queued_reply_timeout(&opening.limits);
        }
    }

    /// Processes the refusal of a flow: sends its SYN to another agent, or resets the flow.
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
        self.on_agent_message(agent, now);
        // An agent sends its report before it declines. Before the first status report of its target, only the
        // low load in it shows why it declines.
        let known = self.directory.agent(agent);
        let is_cold = known.is_some_and(|entry| {
            let record = &entry.record;
            !record.warmup_left.is_zero() || !entry.load.is_busier_than(0, record.slots)
        });
        if let Some(entry) = self.flows.get_mut(&flow)
            && let FlowState::Opening(opening) = &mut entry.state
        {
            let is_current = opening.agent == Some(agent);
            if cause == RefusalCause::BusierThanExpected {
                opening.decline_count += 1;
                if is_cold {
                    opening.cold_agents.push(agent);
                }
            } else if cause == RefusalCause::Overloaded && is_current {
                actions.extend(self.abandon_open(flow, ResetCause::Overloaded, now));
                return actions;
            } else if !opening.failed_agents.contains(&agent) {
                opening.failed_agents.push(agent);
            }
            if is_current {
                actions.extend(self.place(flow, now));
            }
        }
        actions
    }

    /// Sends the SYN of a flow whose agent did not reply in time to another agent.
    pub(super) fn retry_open(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        let lifetime = self.options.syn_lifetime;
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Opening(opening) = &mut entry.state else {
            return Vec::new();
        };
        if now.saturating_duration_since(opening.started_at) >= lifetime {
            self.flows.remove(&flow);
            return Vec::new();
        }
        let Some(agent) = opening.agent else {
            return Vec::new();
        };
        opening.sent_at = now;
        if opening.failed_agents.contains(&agent) {
            return Vec::new();
        }
        opening.failed_agents.push(agent);
        opening.unanswered_count += 1;
        self.selector.on_open_timeout(agent, now);
        let mut actions = vec![Action::RecordEvent(FlowEvent::Unanswered { flow, agent })];
        if let Some(selected) = self.select_agent(flow, now) {
            actions.extend(self.send_open(selected, flow, now));
        }
        actions
    }

    /// Sends the SYNs that have waited for a target to agents that are ready now.
    pub(super) fn place_pending_flows(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for flow in self.flows.pending_flows() {
            if let Some(entry) = self.flows.get(&flow)
                && let FlowState::Opening(opening) = &entry.state
                && opening.agent.is_none()
                && let Some(selected) = self.select_agent(flow, now)
            {
                actions.extend(self.send_open(selected, flow, now));
            }
        }
        actions
    }

    fn open_flow<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &'a [u8],
        arrival: Arrival,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let now = arrival.read_at();
        let transmissions = SynTransmissions::first(header, arrival);
        let route = self.routes.route(flow.service_address);
        let Some((route, service)) = route.and_then(|r| Some((r, r.service_for(&flow)?))) else {
            let evidence = ResetEvidence::not_opened(transmissions, ResetCause::NoRoute, now);
            return evidence.map_or_else(
                || dropped(flow, DropCause::RouteUnknown),
                |evidence| reset(header, evidence),
            );
        };
        let opening = PendingOpen {
            header: *header,
            packet: packet.into(),
            transmissions,
            service: service.clone(),
            is_bulk: route.is_bulk,
            priority: route.priority,
            limits: route.limits,
            agent: None,
            failed_agents: Vec::new(),
            unanswered_count: 0,
            cold_agents: Vec::new(),
            is_accepted: false,
            decline_count: 0,
            started_at: now,
            sent_at: now,
        };
        let state = FlowState::Opening(Box::new(opening));
        self.flows.insert(flow, state, now);
        self.place(flow, now)
    }

    /// Selects an agent for a new flow. If none is ready, the flow waits until the store's agent list
    /// has been read, and is reset after that.
    fn place(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'static>> {
        if let Some(selected) = self.select_agent(flow, now) {
            return self.send_open(selected, flow, now);
        }
        if self.has_only_evacuated_targets(flow) {
            return self.abandon_open(flow, ResetCause::Evacuated, now);
        }
        // Until the store's list has been read, there may be targets that the snapshots of other
        // balancers don't contain.
        let may_wait = !self.has_store_list && self.flows.pending_len() <= MAX_PENDING_FLOWS;
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Opening(opening) = &mut entry.state else {
            return Vec::new();
        };
        if may_wait {
            opening.agent = None;
            return Vec::new();
        }
        let mut actions = self.abandon_open(flow, ResetCause::NoTarget, now);
        // A target may have registered since the agent list was last read.
        actions.push(Action::RefreshAgents);
        actions
    }

    /// Removes a pending flow and resets it at its caller, unless another balancer may have opened it
    /// with another transmission of the SYN, or its caller uses it.
    pub(super) fn abandon_open(
        &mut self,
        flow: FlowKey,
        cause: ResetCause,
        now: Instant,
    ) -> Vec<Action<'static>> {
        if let Some(FlowState::Opening(opening)) = self.flows.remove(&flow)
            && !opening.is_accepted
            && let Some(evidence) = ResetEvidence::not_opened(opening.transmissions, cause, now)
        {
            return reset(&opening.header, evidence);
        }
        dropped(flow, DropCause::FlowNotFound)
    }

    fn select_agent(&mut self, flow: FlowKey, now: Instant) -> Option<SelectedAgent> {
        let FlowState::Opening(opening) = &self.flows.get(&flow)?.state else {
            return None;
        };
        let request = SelectionRequest {
            flow,
            service: opening.service_tag(),
            is_bulk: opening.is_bulk,
            excluded: &opening.failed_agents,
        };
        // Without a rate, agents decline by load alone, which their reports show.
        let has_rate = self.routes.warmup_rate(request.service).is_some();
        if has_rate && !opening.cold_agents.is_empty() {
            let excluded = [&*opening.failed_agents, &*opening.cold_agents].concat();
            let elsewhere = SelectionRequest {
                excluded: &excluded,
                ..request
            };
            let selected = self.selector.select(&elsewhere, &self.directory, now);
            if selected.is_some() {
                return selected;
            }
        }
        self.selector.select(&request, &self.directory, now)
    }

    fn send_open(
        &mut self,
        selected: SelectedAgent,
        flow: FlowKey,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let agent = selected.address;
        let load_reported_at = self
            .directory
            .agent(agent)
            .and_then(|entry| entry.reported_at);
        let version = self.routes.version().unwrap_or_default();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Vec::new();
        };
        let FlowState::Opening(opening) = &mut entry.state else {
            return Vec::new();
        };
        opening.agent = Some(agent);
        opening.sent_at = now;
        let event = FlowEvent::Placed {
            flow,
            service: opening.service.clone(),
            agent,
            attempt: opening.attempt(),
            version,
            load_age: load_reported_at.map(|at| now.saturating_duration_since(at)),
        };
        let params = OpenParams {
            service: opening.service_tag(),
            priority: opening.priority,
            expected_requests: opening.may_decline().then_some(selected.expected_requests),
            limits: opening.limits,
            warmup_rate: self.routes.warmup_rate(opening.service_tag()),
        };
        let message = Message::Open {
            params,
            packet: Cow::Owned(opening.packet.to_vec()),
        };
        vec![Action::RecordEvent(event), Action::send(agent, message)]
    }

    /// Returns the service that the configuration in force names for a flow whose SYN this balancer has
    /// not seen before.
    fn routed_service(&self, flow: &FlowKey) -> Option<ServiceTag> {
        let route = self.routes.route(flow.service_address)?;
        route.service_for(flow).map(ServiceTag::of)
    }

    /// Sends a retransmission of a SYN to the agent that got the previous transmission, for the service of
    /// the flow. The agent refuses it if the address has gone to another service.
    fn resend_open<'a>(
        &self,
        agent: SocketAddrV4,
        service: Option<ServiceTag>,
        flow: FlowKey,
        packet: &'a [u8],
    ) -> Vec<Action<'a>> {
        let Some(service) = service else {
            return Vec::new();
        };
        let route = self.routes.route(flow.service_address);
        let params = OpenParams {
            service,
            priority: route.map_or(u8::MAX, |route| route.priority),
            expected_requests: None,
            limits: route.map(|route| route.limits).unwrap_or_default(),
            warmup_rate: self.routes.warmup_rate(service),
        };
        let message = Message::Open {
            params,
            packet: Cow::Borrowed(packet),
        };
        vec![Action::send(agent, message)]
    }
}

/// Returns the time added to the timeout of a SYN that an agent has queued. The agent accepts or refuses it
/// within half of this, or before its caller gives up.
fn queued_reply_timeout(limits: &RequestLimits) -> Duration {
    (limits.syn_wait(MIN_SYN_WAIT) * 2).min(SYN_ATTEMPT_TIMEOUT)
}
