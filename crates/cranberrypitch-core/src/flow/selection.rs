//! Selection of an agent for a new flow.
//!
//! Traffic between failure domains is costly, so a local target is preferred until it is clearly
//! busier than a remote one. The candidates are the agents that rank highest for the flow by
//! rendezvous hashing, and the least loaded candidate is selected. So balancers with the same load
//! reports do not all select the same target, and a lookup finds the flow with a few queries.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::directory::{AgentDirectory, AgentEntry};
use super::load::AgentLoad;
use super::packet::FlowKey;
use super::rendezvous;
use crate::collections::FastMap;
use crate::ids::ServiceTag;
use crate::target::TargetState;

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
    /// The load that is added to a target while it is slow after its start, in requests per slot.
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
}

impl AgentSelector {
    /// Returns a selector without recorded selections.
    pub fn new(options: AgentSelectorOptions) -> Self {
        Self {
            options,
            states: FastMap::default(),
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
        let ready = directory.without_evacuated(ready, &request.flow, now);
        let responsive: Vec<_> = ready
            .iter()
            .copied()
            .filter(|agent| !self.is_suspected(agent.record.address, now))
            .collect();
        let eligible = if responsive.is_empty() {
            ready
        } else {
            responsive
        };
        let averages = self.load_averages(&eligible, now);
        let least_loaded = |is_local: bool| {
            let agents = eligible.iter().copied().filter(|a| a.is_local == is_local);
            let candidates =
                rendezvous::top_ranked(&request.flow, agents, self.options.candidate_count);
            let scored = candidates.into_iter().map(|agent| {
                let score = self.score(agent, &averages, now);
                (agent, score)
            });
            scored.min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let penalty = if request.is_bulk {
            self.options.bulk_remote_penalty
        } else {
            self.options.remote_penalty
        };
        let (agent, _) = match (least_loaded(true), least_loaded(false)) {
            (Some(local), Some(remote)) if remote.1 + penalty < local.1 => remote,
            (Some(local), _) => local,
            (None, remote) => remote?,
        };
        let selected = SelectedAgent {
            address: agent.record.address,
            expected_requests: self.expected_requests(agent, &averages, now),
        };
        self.record_selection(selected.address, now);
        Some(selected)
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
    }

    fn record_selection(&mut self, address: SocketAddrV4, now: Instant) {
        let lifetime = self.options.selection_lifetime;
        let selected_at = &mut self.states.entry(address).or_default().selected_at;
        selected_at.retain(|at| now.saturating_duration_since(*at) < lifetime);
        selected_at.push(now);
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

    fn load_averages(&self, agents: &[&AgentEntry], now: Instant) -> LoadAverages {
        let reporting = || {
            agents
                .iter()
                .filter(|agent| self.has_valid_load(agent, now))
        };
        let (requests, flows) = reporting().fold((0.0, 0.0), |(requests, flows), agent| {
            let load = agent.load;
            (
                requests + load.mean_requests(),
                flows + f64::from(load.open_flows),
            )
        });
        let measured = if flows > 0.0 { requests / flows } else { 0.0 };
        let requests_per_flow = measured.max(self.options.min_requests_per_flow);
        let (sum, count) = reporting().fold((0.0, 0_u32), |(sum, count), agent| {
            (sum + reported_load(agent, requests_per_flow), count + 1)
        });
        let mean_load = if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        };
        LoadAverages {
            requests_per_flow,
            mean_load,
        }
    }

    /// Returns the expected load with penalties, in requests per slot.
    fn score(&self, agent: &AgentEntry, averages: &LoadAverages, now: Instant) -> f64 {
        let load = if self.has_valid_load(agent, now) {
            reported_load(agent, averages.requests_per_flow)
                + agent.load.failure_ratio() * self.options.failure_penalty
        } else {
            averages.mean_load
        };
        let warmup = if agent.record.warmup_left.is_zero() {
            0.0
        } else {
            self.options.warmup_penalty
        };
        load + f64::from(self.recent_selections(agent, now)) / slots(agent) + warmup
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

/// Averages over the valid load reports of the eligible agents.
#[derive(Clone, Copy, Debug)]
struct LoadAverages {
    /// The average number of requests that an open flow runs.
    requests_per_flow: f64,
    /// The mean load, in requests per slot.
    mean_load: f64,
}

/// Returns the load by the last report, in requests per slot: half from the running requests, half
/// from the open flows, which send more requests later.
fn reported_load(agent: &AgentEntry, requests_per_flow: f64) -> f64 {
    let AgentLoad {
        running_requests,
        open_flows,
        ..
    } = agent.load;
    let requests = f64::midpoint(f64::from(running_requests), agent.load.mean_requests());
    f64::midpoint(requests, f64::from(open_flows) * requests_per_flow) / slots(agent)
}

fn slots(agent: &AgentEntry) -> f64 {
    f64::from(agent.record.slots.get().max(1))
}
