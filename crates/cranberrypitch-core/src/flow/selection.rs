//! Selection of an agent for a new flow.
//!
//! Traffic between failure domains is costly, so a local target is preferred until it is clearly
//! busier than a remote one. The candidates are the agents that rank highest for the flow by
//! rendezvous hashing, and the least loaded candidate is selected. So balancers with the same load
//! reports do not all select the same target, and a lookup finds the flow with a few queries.
//!
//! The load of a target is its number of requests per slot, weighted by its measured service time
//! relative to that of the others.

mod load_averages;
mod outliers;
mod scoring;

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use self::load_averages::{LoadAverages, slots};
use self::outliers::OutlierDetector;
pub use self::outliers::{EjectionCause, OutlierChange};
use super::directory::{AgentDirectory, AgentEntry};
use super::packet::FlowKey;
use super::rendezvous;
use crate::collections::FastMap;
use crate::ids::ServiceTag;
use crate::target::TargetState;

/// The minimum time between two decisions on ejections, which is that between two reports.
const OUTLIER_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Settings of a [`AgentSelector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentSelectorOptions {
    /// The number of highest-ranked agents that are compared, in the own failure domain and again in
    /// the others.
    pub candidate_count: usize,
    /// By how much the load of a remote target must be below that of a local one to be preferred, in
    /// requests per slot.
    pub remote_penalty: f64,
    /// The same difference for routes with large bodies, in requests per slot.
    pub bulk_remote_penalty: f64,
    /// The load that is added to a target that has just started, in requests per slot. It falls with the
    /// rest of the time for which the target is slow.
    pub warmup_penalty: f64,
    /// The load that is added to a target whose responses all fail, in requests per slot; it scales
    /// with the share of failed responses. If all targets fail alike, the selection stays the same.
    pub failure_penalty: f64,
    /// The lower bound of the average number of requests that an open flow is expected to run, also
    /// used before any load was reported.
    pub min_requests_per_flow: f64,
    /// The time for which an agent that did not reply to a SYN is avoided.
    pub suspect_duration: Duration,
    /// The time for which a selection counts as a running request while no newer report has arrived.
    pub selection_lifetime: Duration,
    /// The time after which a load report expires. An agent without a valid report is assumed to have
    /// the mean load of the others.
    pub load_report_lifetime: Duration,
}

impl Default for AgentSelectorOptions {
    fn default() -> Self {
        Self {
            candidate_count: 3,
            remote_penalty: 0.4,
            bulk_remote_penalty: 3.0,
            warmup_penalty: 0.5,
            failure_penalty: 4.0,
            min_requests_per_flow: 0.02,
            suspect_duration: Duration::from_secs(2),
            selection_lifetime: Duration::from_millis(100),
            load_report_lifetime: Duration::from_secs(3),
        }
    }
}

/// The parameters for selecting the agent of a new flow.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// The flow.
    pub flow: FlowKey,
    /// The tag of the service that the route selected.
    pub service: ServiceTag,
    /// Whether the route carries large bodies.
    pub is_bulk: bool,
    /// Agents that must not be selected, because they refused the flow or did not reply.
    pub excluded: &'a [SocketAddrV4],
}

/// The agent that was selected for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectedAgent {
    /// The address at which the agent receives messages.
    pub address: SocketAddrV4,
    /// The number of requests that the target is expected to run, from its last report and the
    /// selections since then.
    pub expected_requests: u16,
}

/// The state that a selector keeps for an agent.
#[derive(Clone, Debug, Default)]
struct SelectionState {
    /// The times of recent selections.
    selected_at: Vec<Instant>,
    suspected_until: Option<Instant>,
}

/// Selects agents for new flows, and tracks its recent selections and the agents that did not reply.
#[derive(Debug)]
pub struct AgentSelector {
    options: AgentSelectorOptions,
    states: FastMap<SocketAddrV4, SelectionState>,
    outliers: OutlierDetector,
    outliers_updated_at: Option<Instant>,
}

impl AgentSelector {
    /// Returns a selector without recorded selections.
    pub fn new(options: AgentSelectorOptions) -> Self {
        Self {
            options,
            states: FastMap::default(),
            outliers: OutlierDetector::default(),
            outliers_updated_at: None,
        }
    }

    /// Selects an agent for a flow, or returns nothing if no agent is ready apart from the excluded
    /// ones. Agents that recently did not reply are selected only if there is no other.
    pub fn select(
        &mut self,
        request: &SelectionRequest<'_>,
        directory: &AgentDirectory,
        now: Instant,
    ) -> Option<SelectedAgent> {
        let ready: Vec<_> = directory
            .agents_of_service(request.service)
            .filter(|agent| agent.record.state == TargetState::Ready)
            .filter(|agent| !request.excluded.contains(&agent.record.address))
            .collect();
        let ready = directory.selectable(ready, &request.flow, now);
        let responsive: Vec<_> = ready
            .iter()
            .copied()
            .filter(|agent| !self.is_suspected(agent.record.address, now))
            .collect();
        let admitted: Vec<_> = responsive
            .iter()
            .copied()
            .filter(|agent| self.outliers.admits(agent.record.address))
            .collect();
        let eligible = [admitted, responsive, ready]
            .into_iter()
            .find(|agents| !agents.is_empty())?;
        let reporting = |agent: &&AgentEntry| self.has_valid_load(agent, now);
        let averages = LoadAverages::of(
            eligible.iter().copied().filter(reporting),
            directory
                .agents_of_service(request.service)
                .filter(reporting),
            self.options.min_requests_per_flow,
        );
        let agent = self.nearest_or_less_loaded(request, &eligible, &averages, now)?;
        let selected = SelectedAgent {
            address: agent.record.address,
            expected_requests: self.expected_requests(agent, &averages, now),
        };
        self.record_selection(selected.address, now);
        Some(selected)
    }

    /// Returns the least loaded local candidate, or the least loaded remote one if its load is lower by
    /// the remote penalty.
    fn nearest_or_less_loaded<'a>(
        &self,
        request: &SelectionRequest<'_>,
        eligible: &[&'a AgentEntry],
        averages: &LoadAverages,
        now: Instant,
    ) -> Option<&'a AgentEntry> {
        let local = self.least_loaded(request, eligible, true, averages, now);
        let remote = self.least_loaded(request, eligible, false, averages, now);
        let penalty = if request.is_bulk {
            self.options.bulk_remote_penalty
        } else {
            self.options.remote_penalty
        };
        let selected = match (local, remote) {
            (Some(local), Some(remote)) if remote.1 + penalty < local.1 => Some(remote),
            (Some(local), _) => Some(local),
            (None, remote) => remote,
        };
        selected.map(|(agent, _)| agent)
    }

    /// Returns the candidate with the lowest score, with its score, among the local or the remote agents.
    fn least_loaded<'a>(
        &self,
        request: &SelectionRequest<'_>,
        eligible: &[&'a AgentEntry],
        is_local: bool,
        averages: &LoadAverages,
        now: Instant,
    ) -> Option<(&'a AgentEntry, f64)> {
        let agents = eligible.iter().copied().filter(|a| a.is_local == is_local);
        let candidates =
            rendezvous::top_ranked(&request.flow, agents, self.options.candidate_count);
        let scored = candidates
            .into_iter()
            .map(|agent| (agent, self.score(agent, averages, now)));
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Ejects and readmits targets by the last reports of their agents, at most once in the
    /// update interval.
    pub fn update_outliers(
        &mut self,
        directory: &AgentDirectory,
        now: Instant,
    ) -> Vec<OutlierChange> {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let updated_at = self.outliers_updated_at;
        if updated_at.is_some_and(|at| elapsed(at) < OUTLIER_UPDATE_INTERVAL) {
            return Vec::new();
        }
        self.outliers_updated_at = Some(now);
        let mut changes = Vec::new();
        for service in directory.services() {
            let agents = directory.agents_of_service(service);
            let is_ready = |agent: &&AgentEntry| agent.record.state == TargetState::Ready;
            let ready: Vec<_> = agents.filter(is_ready).collect();
            let mut reporting = ready.clone();
            reporting.retain(|agent| self.has_valid_load(agent, now));
            changes.extend(self.outliers.update(&ready, &reporting, now));
        }
        changes
    }

    /// Returns the number of targets that are ejected or on trial.
    pub fn ejected_targets(&self) -> usize {
        self.outliers.ejected_len()
    }

    /// Records that a target accepted a flow.
    pub fn on_open_accepted(&mut self, address: SocketAddrV4, now: Instant) {
        self.outliers.on_accepted(address, now);
    }

    /// Marks an agent that did not reply in time as suspected.
    pub fn on_open_timeout(&mut self, address: SocketAddrV4, now: Instant) {
        let until = now + self.options.suspect_duration;
        self.states.entry(address).or_default().suspected_until = Some(until);
    }

    /// Clears the suspicion of an agent that sent a message.
    pub fn on_reply(&mut self, address: SocketAddrV4) {
        if let Some(state) = self.states.get_mut(&address) {
            state.suspected_until = None;
        }
    }

    /// Removes the state of an agent that is no longer in the directory.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.states.remove(&address);
        self.outliers.remove(address);
    }

    fn record_selection(&mut self, address: SocketAddrV4, now: Instant) {
        let lifetime = self.options.selection_lifetime;
        let selected_at = &mut self.states.entry(address).or_default().selected_at;
        selected_at.retain(|at| now.saturating_duration_since(*at) < lifetime);
        selected_at.push(now);
        self.outliers.on_selected(address, now);
    }

    fn is_suspected(&self, address: SocketAddrV4, now: Instant) -> bool {
        let until = self.states.get(&address).and_then(|s| s.suspected_until);
        until.is_some_and(|until| now < until)
    }

    fn has_valid_load(&self, agent: &AgentEntry, now: Instant) -> bool {
        let lifetime = self.options.load_report_lifetime;
        agent
            .reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < lifetime)
    }

    /// Returns the number of requests that a target is expected to run.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range"
    )]
    fn expected_requests(&self, agent: &AgentEntry, averages: &LoadAverages, now: Instant) -> u16 {
        let reported = if self.has_valid_load(agent, now) {
            f64::from(agent.load.running_requests)
        } else {
            averages.mean_load * slots(agent)
        };
        let expected = reported + f64::from(self.recent_selections(agent, now));
        expected.clamp(0.0, f64::from(u16::MAX)) as u16
    }

    /// Returns the number of recent selections that the last report can't include.
    fn recent_selections(&self, agent: &AgentEntry, now: Instant) -> u32 {
        let Some(state) = self.states.get(&agent.record.address) else {
            return 0;
        };
        let is_recent = |at: &&Instant| {
            now.saturating_duration_since(**at) < self.options.selection_lifetime
                && agent.reported_at.is_none_or(|reported| **at >= reported)
        };
        u32::try_from(state.selected_at.iter().filter(is_recent).count()).unwrap_or(u32::MAX)
    }
}
