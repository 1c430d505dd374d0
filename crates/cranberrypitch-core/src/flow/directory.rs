//! A balancer's directory of agents, from registrations in the store and from the agents' reports.
//!
//! Each source covers outages of the other: an agent stays while the store lists it, and an agent
//! whose registration lapsed stays while its reports arrive.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, serde_as};

use super::evacuation::EvacuationEnforcement;
use super::held_flows::{self, HeldFlows};
use super::load::AgentLoad;
use super::packet::FlowKey;
use crate::collections::FastMap;
use crate::ids::{FailureDomain, Incarnation, ServiceName, ServiceTag};
use crate::target::TargetState;
use crate::units::Slots;

/// The registration of an agent with the state of its target, as stored and as reported.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// The address at which the agent receives messages of balancers.
    #[serde_as(as = "DisplayFromStr")]
    pub address: SocketAddrV4,
    /// The service that the target serves.
    pub service: ServiceName,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The incarnation of the agent, which differs after each start.
    pub incarnation: Incarnation,
    /// The state of the target.
    pub state: TargetState,
    /// The number of requests that the target runs concurrently.
    pub slots: Slots,
    /// The remaining time for which the target is slow after its start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "warmup_left_ms")]
    pub warmup_left: Duration,
    /// Whether the agent is stopping while its target keeps running, with its flows, for the next agent.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_agent_stopping: bool,
    /// The flows that the target may hold, if the agent has ended admission and knows all of them. Only the
    /// store has it: no report carries it.
    #[serde(
        default,
        deserialize_with = "held_flows::deserialize_or_absent",
        skip_serializing_if = "Option::is_none"
    )]
    pub held_flows: Option<HeldFlows>,
}

/// Time limits for keeping agents in an [`AgentDirectory`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentDirectoryOptions {
    /// The time after its last report for which an unregistered agent is kept. Within the same time
    /// a report takes precedence over the store.
    pub report_lifetime: Duration,
    /// The time for which an agent is kept after its registration ended, so that a registration that
    /// lapsed during an outage of the store can be renewed.
    pub unlisted_grace: Duration,
    /// The maximum age of a flow. For this time after the planned stop of an agent, its target may hold flows
    /// for the next agent, also if the stop could not be written to the store.
    pub max_flow_age: Duration,
}

impl Default for AgentDirectoryOptions {
    fn default() -> Self {
        Self {
            report_lifetime: Duration::from_secs(3),
            unlisted_grace: Duration::from_secs(2),
            max_flow_age: Duration::from_mins(1),
        }
    }
}

/// The time after the announced exit of a target from which on none of its flows is open. Until then its
/// agent still passes packets to it.
const EXIT_TIME: Duration = Duration::from_millis(600);

/// An agent in the directory.
#[derive(Clone, Debug)]
pub(crate) struct AgentEntry {
    pub(crate) record: AgentRecord,
    pub(crate) service_tag: ServiceTag,
    pub(crate) load: AgentLoad,
    /// Whether the agent is in the failure domain of the balancer.
    pub(crate) is_local: bool,
    /// The time of the last report, if any arrived.
    pub(crate) reported_at: Option<Instant>,
    /// The longest warm-up time that the target had left since it started; zero if it is warm.
    warmup: Duration,
    /// The time of the record that has the rest of the warm-up time.
    warmup_as_of: Instant,
    /// Whether the store lists the agent.
    is_listed: bool,
    unlisted_at: Instant,
    /// The time since which the target is known to have exited, if it has.
    gone_since: Option<Instant>,
    /// The time since which the agent is known to be stopping, if it is.
    stopping_since: Option<Instant>,
}

impl AgentEntry {
    fn may_hold_flow(&self, flow: &FlowKey, options: &AgentDirectoryOptions, now: Instant) -> bool {
        !self.has_exited(now) && !self.excludes(flow, options, now)
    }

    /// Returns whether the target announced its exit so long ago that none of its flows is open.
    fn has_exited(&self, now: Instant) -> bool {
        let is_over = |since| now.saturating_duration_since(since) >= EXIT_TIME;
        self.gone_since.is_some_and(is_over)
    }

    /// Returns whether the store has the set of the target's flows without this one. While reports say that the
    /// agent is ready again, the set is out of date.
    fn excludes(&self, flow: &FlowKey, options: &AgentDirectoryOptions, now: Instant) -> bool {
        let is_ready = self.record.state == TargetState::Ready;
        let held = self.record.held_flows.as_ref();
        held.is_some_and(|held| !held.may_contain(flow))
            && !(is_ready && self.has_recent_report(options, now))
    }

    /// Returns the rest of the warm-up time as a fraction of the whole, from 1 after the start of the target
    /// to 0.
    pub(crate) fn warmup_fraction_left(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.warmup_as_of);
        let left = self.record.warmup_left.saturating_sub(elapsed);
        if left.is_zero() {
            0.0
        } else {
            left.div_duration_f64(self.warmup)
        }
    }

    /// Replaces the record by a newer one.
    fn set_record(&mut self, record: AgentRecord, now: Instant) {
        let record = with_known_state(record, Some(&self.record));
        self.warmup = if record.warmup_left.is_zero() {
            Duration::ZERO
        } else {
            self.warmup.max(record.warmup_left)
        };
        self.warmup_as_of = now;
        self.gone_since = match record.state {
            TargetState::Gone => self.gone_since.or(Some(now)),
            _ => None,
        };
        self.stopping_since = if record.is_agent_stopping {
            self.stopping_since.or(Some(now))
        } else {
            None
        };
        self.record = record;
    }

    /// Returns whether the agent has stopped as planned, and its target may hold flows for the next agent.
    fn is_restarting(&self, options: &AgentDirectoryOptions, now: Instant) -> bool {
        let is_recent = |since| now.saturating_duration_since(since) < options.max_flow_age;
        self.stopping_since.is_some_and(is_recent)
    }

    /// Returns whether the agent has sent a report within the lifetime of reports.
    fn has_recent_report(&self, options: &AgentDirectoryOptions, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < options.report_lifetime;
        self.reported_at.is_some_and(is_recent)
    }

    /// Records that the store does not list the agent. Without its record, the set of held flows is unknown.
    fn unlist(&mut self, now: Instant) {
        self.is_listed = false;
        self.unlisted_at = now;
        self.record.held_flows = None;
    }

    fn is_kept(&self, options: &AgentDirectoryOptions, now: Instant) -> bool {
        let unlisted_for = now.saturating_duration_since(self.unlisted_at);
        match self.record.state {
            TargetState::Gone => self.is_listed,
            _ => {
                self.is_listed
                    || self.has_recent_report(options, now)
                    || self.is_restarting(options, now)
                    || unlisted_for < options.unlisted_grace
            }
        }
    }
}

/// Returns the record of an agent with the state that its target is known to have. An agent whose target has
/// not reported yet knows nothing of a drain that was acknowledged before the agent started.
fn with_known_state(record: AgentRecord, previous: Option<&AgentRecord>) -> AgentRecord {
    if record.state != TargetState::Starting {
        return record;
    }
    let is_same = |previous: &&AgentRecord| previous.service == record.service;
    let state = match previous.filter(is_same).map(|previous| previous.state) {
        Some(TargetState::Draining) => TargetState::Draining,
        _ => TargetState::Ready,
    };
    AgentRecord { state, ..record }
}

/// The agents that a balancer can send flows to, by address and by service.
#[derive(Debug)]
pub struct AgentDirectory {
    options: AgentDirectoryOptions,
    failure_domain: FailureDomain,
    agents: FastMap<SocketAddrV4, AgentEntry>,
    by_service: FastMap<ServiceTag, Vec<SocketAddrV4>>,
    is_loaded: bool,
    pub(crate) evacuations: EvacuationEnforcement,
}

impl AgentDirectory {
    /// Returns an empty directory for a balancer in the given failure domain.
    pub fn new(options: AgentDirectoryOptions, failure_domain: FailureDomain) -> Self {
        Self {
            options,
            failure_domain,
            agents: FastMap::default(),
            by_service: FastMap::default(),
            is_loaded: false,
            evacuations: EvacuationEnforcement::default(),
        }
    }

    /// Returns whether an agent list was applied at least once.
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Applies a complete agent list. Returns the records that are new or changed.
    pub fn on_agent_list(&mut self, records: Vec<AgentRecord>, now: Instant) -> Vec<AgentRecord> {
        self.is_loaded = true;
        let listed: crate::FastSet<_> = records.iter().map(|record| record.address).collect();
        for (address, agent) in &mut self.agents {
            if agent.is_listed && !listed.contains(address) {
                agent.unlist(now);
            }
        }
        let changed = records
            .into_iter()
            .filter(|record| self.on_registered(record.clone(), now));
        changed.collect()
    }

    /// Applies one registration. Returns whether the agent is new or its record changed.
    pub fn on_registered(&mut self, record: AgentRecord, now: Instant) -> bool {
        let address = record.address;
        match self.agents.get_mut(&address) {
            // The last thing that an agent does is to stop.
            Some(entry)
                if entry.record.incarnation == record.incarnation
                    && record.is_agent_stopping
                    && !entry.record.is_agent_stopping =>
            {
                entry.set_record(record, now);
                entry.is_listed = true;
                true
            }
            // A recent report of the agent is newer than its registration in the store, but has no set of held
            // flows.
            Some(entry)
                if entry.record.incarnation == record.incarnation
                    && entry.has_recent_report(&self.options, now) =>
            {
                entry.is_listed = true;
                entry.record.held_flows = record.held_flows;
                false
            }
            Some(entry) if entry.record == record => {
                entry.is_listed = true;
                false
            }
            _ => {
                self.insert(record, None, now);
                if let Some(entry) = self.agents.get_mut(&address) {
                    entry.is_listed = true;
                }
                true
            }
        }
    }

    /// Keeps the last record of an agent whose key the store has with a value that can't be read, except the
    /// set of held flows, which the agent may have removed before.
    pub fn on_unreadable(&mut self, address: SocketAddrV4) {
        if let Some(entry) = self.agents.get_mut(&address) {
            entry.is_listed = true;
            entry.record.held_flows = None;
        }
    }

    /// Marks an agent as no longer listed by the store.
    pub fn on_unregistered(&mut self, address: SocketAddrV4, now: Instant) {
        if let Some(entry) = self.agents.get_mut(&address) {
            entry.unlist(now);
        }
    }

    /// Applies a report of an agent. Returns whether the agent is new or its incarnation, service or
    /// state changed.
    pub fn on_report(&mut self, record: AgentRecord, load: AgentLoad, now: Instant) -> bool {
        if let Some(entry) = self.agents.get_mut(&record.address)
            && entry.record.incarnation == record.incarnation
            && entry.record.service == record.service
        {
            // A report that was overtaken by the one of the stop.
            if entry.record.is_agent_stopping && !record.is_agent_stopping {
                return false;
            }
            let state = entry.record.state;
            let held_flows = entry.record.held_flows.take();
            entry.set_record(record, now);
            // The set holds until the agent may admit flows again.
            let is_ready = entry.record.state == TargetState::Ready;
            entry.record.held_flows = held_flows.filter(|_| !is_ready);
            let is_changed = entry.record.state != state;
            entry.load = load;
            entry.reported_at = Some(now);
            return is_changed;
        }
        let record = AgentRecord {
            held_flows: None,
            ..record
        };
        self.insert(record, Some(load), now);
        true
    }

    /// Removes and returns the agents that are no longer listed and have not reported recently.
    pub fn on_tick(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let options = self.options;
        let removed: Vec<_> = self
            .agents
            .extract_if(|_, agent| !agent.is_kept(&options, now))
            .map(|(address, _)| address)
            .collect();
        for addresses in self.by_service.values_mut() {
            addresses.retain(|address| !removed.contains(address));
        }
        removed
    }

    /// Returns the services that agents serve or served, in no particular order.
    pub(crate) fn services(&self) -> impl Iterator<Item = ServiceTag> + '_ {
        self.by_service.keys().copied()
    }

    /// Returns the agents whose targets serve a service.
    pub(crate) fn agents_of_service(
        &self,
        service: ServiceTag,
    ) -> impl Iterator<Item = &AgentEntry> {
        let addresses = self.by_service.get(&service);
        addresses
            .into_iter()
            .flatten()
            .filter_map(|address| self.agents.get(address))
    }

    /// Returns whether a service has ready targets, and all of them are in evacuated failure domains.
    pub(crate) fn is_service_evacuated(&self, service: ServiceTag) -> bool {
        let mut ready = self
            .agents_of_service(service)
            .filter(|agent| agent.record.state == TargetState::Ready)
            .peekable();
        ready.peek().is_some() && ready.all(|agent| self.is_evacuated(agent))
    }

    fn is_evacuated(&self, agent: &AgentEntry) -> bool {
        self.evacuations.is_evacuated(&agent.record.failure_domain)
    }

    /// Returns those of the ready agents that a flow may select. Agents of a domain whose evacuation ended
    /// recently take only the share of the flows that the ramp allows, unless no other agent is ready.
    pub(crate) fn selectable<'a>(
        &self,
        mut ready: Vec<&'a AgentEntry>,
        flow: &FlowKey,
        now: Instant,
    ) -> Vec<&'a AgentEntry> {
        ready.retain(|agent| !self.is_evacuated(agent));
        let is_admitted = |agent: &&AgentEntry| {
            let domain = &agent.record.failure_domain;
            self.evacuations.is_admitted_by_ramp(domain, flow, now)
        };
        let admitted: Vec<_> = ready.iter().copied().filter(is_admitted).collect();
        if admitted.is_empty() { ready } else { admitted }
    }

    /// Returns all agents, in no particular order.
    pub(crate) fn agents(&self) -> impl Iterator<Item = &AgentEntry> {
        self.agents.values()
    }

    /// Returns the agent at an address.
    pub(crate) fn agent(&self, address: SocketAddrV4) -> Option<&AgentEntry> {
        self.agents.get(&address)
    }

    /// Returns whether the target of an agent may hold a flow. It does not after its exit, or if the store has
    /// the set of its flows without this one.
    pub(crate) fn may_hold_flow(&self, agent: &AgentEntry, flow: &FlowKey, now: Instant) -> bool {
        agent.may_hold_flow(flow, &self.options, now)
    }

    /// Returns whether the target of an agent announced its exit so long ago that none of its flows is open.
    pub(crate) fn has_exited(&self, address: SocketAddrV4, now: Instant) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| agent.has_exited(now))
    }

    /// Returns whether the store has the set of the flows that the target of an agent holds, without this one.
    pub(crate) fn excludes(&self, address: SocketAddrV4, flow: &FlowKey, now: Instant) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| agent.excludes(flow, &self.options, now))
    }

    /// Returns the number of agents whose records in the store exclude a flow.
    pub(crate) fn excluding_agents(&self, flow: &FlowKey, now: Instant) -> usize {
        let agents = self.agents.values();
        agents
            .filter(|agent| agent.excludes(flow, &self.options, now))
            .count()
    }

    /// Returns whether the store lists an agent.
    pub(crate) fn is_listed(&self, address: SocketAddrV4) -> bool {
        self.agents
            .get(&address)
            .is_some_and(|agent| agent.is_listed)
    }

    /// Returns whether the store does not list an agent, it has not reported recently, and it did not stop as
    /// planned.
    pub(crate) fn has_lapsed(&self, address: SocketAddrV4, now: Instant) -> bool {
        let is_present = |agent: &AgentEntry| {
            agent.is_listed
                || agent.has_recent_report(&self.options, now)
                || agent.is_restarting(&self.options, now)
        };
        !self.agents.get(&address).is_some_and(is_present)
    }

    /// Returns the records of all agents, in no particular order.
    pub fn records(&self) -> Vec<AgentRecord> {
        self.agents().map(|agent| agent.record.clone()).collect()
    }

    /// Returns the number of agents, including those that no longer accept flows.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether the directory has no agents.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    fn insert(&mut self, record: AgentRecord, load: Option<AgentLoad>, now: Instant) {
        let address = record.address;
        let previous = self.agents.remove(&address);
        let mut record = with_known_state(record, previous.as_ref().map(|entry| &entry.record));
        // The set of an earlier process says nothing about the flows that the known one has admitted.
        if previous
            .as_ref()
            .is_some_and(|entry| entry.record.incarnation > record.incarnation)
        {
            record.held_flows = None;
        }
        if let Some(previous) = &previous
            && let Some(addresses) = self.by_service.get_mut(&previous.service_tag)
        {
            addresses.retain(|other| *other != address);
        }
        let service_tag = ServiceTag::of(&record.service);
        self.by_service
            .entry(service_tag)
            .or_default()
            .push(address);
        let agent = AgentEntry {
            is_local: record.failure_domain == self.failure_domain,
            service_tag,
            load: load.unwrap_or_default(),
            reported_at: load.map(|_| now),
            warmup: record.warmup_left,
            warmup_as_of: now,
            is_listed: previous.is_some_and(|previous| previous.is_listed),
            unlisted_at: now,
            gone_since: (record.state == TargetState::Gone).then_some(now),
            stopping_since: record.is_agent_stopping.then_some(now),
            record,
        };
        self.agents.insert(address, agent);
    }
}
