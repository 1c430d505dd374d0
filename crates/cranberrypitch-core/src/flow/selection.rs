//! The choice of an agent for a new flow.
//!
//! Bytes between failure domains are costly, so a local target is preferred until it is clearly
//! busier than a remote one. The least loaded of the first agents in the flow's order is chosen:
//! balancers with the same view do not all choose the same target, and the flow is found again with
//! a few questions.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::directory::{AgentDirectory, KnownAgent};
use super::load::AgentLoad;
use super::packet::FlowKey;
use super::rendezvous;
use crate::collections::FastMap;
use crate::ids::ServiceTag;
use crate::target::TargetState;

/// Settings of a [`AgentSelector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentSelectorOptions {
    /// How many agents of the flow's order are compared, in the own failure domain and in others.
    pub candidate_count: usize,
    /// By how many requests per slot a remote target must be less loaded than a local one.
    pub remote_penalty: f64,
    /// The same for routes with large bodies.
    pub bulk_remote_penalty: f64,
    /// The load, in requests per slot, that a target counts for while it is slow after its start.
    pub warmup_penalty: f64,
    /// The load, in requests per slot, that a target whose answers all fail counts for. Where all
    /// targets fail alike, no choice changes.
    pub failure_penalty: f64,
    /// The least requests that an open flow is expected to run on average, as before any load was
    /// reported.
    pub min_requests_per_flow: f64,
    /// How long a target that left an opening packet unanswered is avoided.
    pub suspect_duration: Duration,
    /// How long an own choice counts as a running request if no report shows it.
    pub selection_lifetime: Duration,
    /// An agent with an older report counts as loaded as the others are on average.
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

/// What a new flow asks for.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// The flow.
    pub flow: FlowKey,
    /// The service.
    pub service: ServiceTag,
    /// Whether the route carries large bodies.
    pub is_bulk: bool,
    /// Agents that did not take the flow.
    pub excluded: &'a [SocketAddrV4],
}

/// A chosen agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectedAgent {
    /// Where the agent receives messages.
    pub address: SocketAddrV4,
    /// The requests that its target runs as far as is known, own choices included.
    pub expected_requests: u16,
}

#[derive(Clone, Debug, Default)]
struct Tracked {
    picks: Vec<Instant>,
    suspected_until: Option<Instant>,
}

/// Chooses agents, and remembers its own choices and the agents that did not answer.
#[derive(Debug)]
pub struct AgentSelector {
    options: AgentSelectorOptions,
    tracked: FastMap<SocketAddrV4, Tracked>,
}

impl AgentSelector {
    /// Returns a selector without memory.
    pub fn new(options: AgentSelectorOptions) -> Self {
        Self {
            options,
            tracked: FastMap::default(),
        }
    }

    /// Chooses an agent that was not tried, or returns nothing when no other takes flows.
    pub fn select(
        &mut self,
        choice: &SelectionRequest<'_>,
        directory: &AgentDirectory,
        now: Instant,
    ) -> Option<SelectedAgent> {
        let usable: Vec<_> = directory
            .of_service(choice.service)
            .filter(|agent| agent.record.state == TargetState::Ready)
            .filter(|agent| !choice.excluded.contains(&agent.record.address))
            .collect();
        let trusted: Vec<_> = usable
            .iter()
            .copied()
            .filter(|agent| !self.is_suspected(agent.record.address, now))
            .collect();
        let eligible = if trusted.is_empty() { usable } else { trusted };
        let outlook = self.outlook(&eligible, now);
        let lightest = |is_local: bool| {
            let agents = eligible.iter().copied().filter(|a| a.is_local == is_local);
            let candidates = rendezvous::first(&choice.flow, agents, self.options.candidate_count);
            let scored = candidates.into_iter().map(|agent| {
                let score = self.score(agent, &outlook, now);
                (agent, score)
            });
            scored.min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let penalty = if choice.is_bulk {
            self.options.bulk_remote_penalty
        } else {
            self.options.remote_penalty
        };
        let (agent, _) = match (lightest(true), lightest(false)) {
            (Some(local), Some(remote)) if remote.1 + penalty < local.1 => remote,
            (Some(local), _) => local,
            (None, remote) => remote?,
        };
        let pick = SelectedAgent {
            address: agent.record.address,
            expected_requests: self.expected_requests(agent, &outlook, now),
        };
        self.note_pick(pick.address, now);
        Some(pick)
    }

    /// Notes that an agent left an opening packet unanswered.
    pub fn on_open_timeout(&mut self, address: SocketAddrV4, now: Instant) {
        let until = now + self.options.suspect_duration;
        self.tracked.entry(address).or_default().suspected_until = Some(until);
    }

    /// Notes that an agent answered.
    pub fn on_reply(&mut self, address: SocketAddrV4) {
        if let Some(tracked) = self.tracked.get_mut(&address) {
            tracked.suspected_until = None;
        }
    }

    /// Forgets an agent.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.tracked.remove(&address);
    }

    fn note_pick(&mut self, address: SocketAddrV4, now: Instant) {
        let lifetime = self.options.selection_lifetime;
        let picks = &mut self.tracked.entry(address).or_default().picks;
        picks.retain(|at| now.saturating_duration_since(*at) < lifetime);
        picks.push(now);
    }

    fn is_suspected(&self, address: SocketAddrV4, now: Instant) -> bool {
        let until = self.tracked.get(&address).and_then(|t| t.suspected_until);
        until.is_some_and(|until| now < until)
    }

    fn is_load_known(&self, agent: &KnownAgent, now: Instant) -> bool {
        let lifetime = self.options.load_report_lifetime;
        agent
            .load_at
            .is_some_and(|at| now.saturating_duration_since(at) < lifetime)
    }

    fn outlook(&self, agents: &[&KnownAgent], now: Instant) -> Outlook {
        let known = || agents.iter().filter(|agent| self.is_load_known(agent, now));
        let (requests, flows) = known().fold((0.0, 0.0), |(requests, flows), agent| {
            let load = agent.load;
            (
                requests + load.mean_requests(),
                flows + f64::from(load.open_flows),
            )
        });
        let per_flow = if flows > 0.0 { requests / flows } else { 0.0 };
        let flow_load = per_flow.max(self.options.min_requests_per_flow);
        let (sum, count) = known().fold((0.0, 0_u32), |(sum, count), agent| {
            (sum + reported_load(agent, flow_load), count + 1)
        });
        let typical_load = if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        };
        Outlook {
            flow_load,
            typical_load,
        }
    }

    /// Returns the expected requests per slot.
    fn score(&self, agent: &KnownAgent, outlook: &Outlook, now: Instant) -> f64 {
        let load = if self.is_load_known(agent, now) {
            reported_load(agent, outlook.flow_load)
                + agent.load.failure_ratio() * self.options.failure_penalty
        } else {
            outlook.typical_load
        };
        let warmup = if agent.record.warmup_left.is_zero() {
            0.0
        } else {
            self.options.warmup_penalty
        };
        load + f64::from(self.recent_picks(agent, now)) / slots(agent) + warmup
    }

    /// Returns the requests that a target runs as far as is known.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range"
    )]
    fn expected_requests(&self, agent: &KnownAgent, outlook: &Outlook, now: Instant) -> u16 {
        let reported = if self.is_load_known(agent, now) {
            f64::from(agent.load.running_requests)
        } else {
            outlook.typical_load * slots(agent)
        };
        let expected = reported + f64::from(self.recent_picks(agent, now));
        expected.clamp(0.0, f64::from(u16::MAX)) as u16
    }

    /// Returns the own choices that the last report can't include.
    fn recent_picks(&self, agent: &KnownAgent, now: Instant) -> u32 {
        let Some(tracked) = self.tracked.get(&agent.record.address) else {
            return 0;
        };
        let is_recent = |at: &&Instant| {
            now.saturating_duration_since(**at) < self.options.selection_lifetime
                && agent.load_at.is_none_or(|reported| **at >= reported)
        };
        u32::try_from(tracked.picks.iter().filter(is_recent).count()).unwrap_or(u32::MAX)
    }
}

/// What the reports of a service's agents tell together.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    /// The requests that an open flow runs on average.
    flow_load: f64,
    /// The mean load of the agents that reported lately, in requests per slot.
    typical_load: f64,
}

/// Returns the load that a report tells, in requests per slot: half by the requests that run, half
/// by the open flows, which stay and run more.
fn reported_load(agent: &KnownAgent, flow_load: f64) -> f64 {
    let AgentLoad {
        running_requests,
        open_flows,
        ..
    } = agent.load;
    let requests = f64::midpoint(f64::from(running_requests), agent.load.mean_requests());
    f64::midpoint(requests, f64::from(open_flows) * flow_load) / slots(agent)
}

fn slots(agent: &KnownAgent) -> f64 {
    f64::from(agent.record.slots.get().max(1))
}
