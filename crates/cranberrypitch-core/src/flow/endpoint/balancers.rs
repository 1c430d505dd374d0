//! What an agent tells the balancers that use it.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{Endpoint, EndpointOptions};
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, Message};

/// The time between two reports of an agent that is not registered to its seed balancers.
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Agents that are asked for their balancers at most.
const MAX_ASKED: usize = 16;

/// Balancers that one message names at most.
const MAX_BALANCERS_TOLD: usize = 64;

#[derive(Clone, Copy, Debug)]
pub(super) struct KnownBalancer {
    /// Its last message.
    pub(super) heard: Instant,
    /// The last flow that it opened here.
    pub(super) opened: Option<Instant>,
    /// The last report to it.
    reported: Option<Instant>,
}

impl KnownBalancer {
    pub(super) fn is_due(&self, options: &EndpointOptions, now: Instant) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let is_opening = self
            .opened
            .is_some_and(|at| elapsed(at) < options.idle_report_interval * 2);
        let interval = if is_opening {
            options.report_interval
        } else {
            options.idle_report_interval
        };
        self.reported.is_none_or(|at| elapsed(at) >= interval)
    }
}

impl Endpoint {
    /// Notes whether the store lists the agent.
    pub const fn set_registered(&mut self, is_registered: bool) {
        self.is_registered = is_registered;
    }

    /// Takes in other agents, and asks them for their balancers.
    pub fn on_agent_list(&self, agents: &[SocketAddrV4]) -> Vec<Action<'static>> {
        let ask = |agent: &SocketAddrV4| Action::send(*agent, Message::BalancerQuery);
        let agents = agents.iter().take(MAX_ASKED);
        agents.map(ask).collect()
    }

    /// Answers an agent that asks for balancers.
    pub fn on_balancer_query(&self, agent: SocketAddrV4) -> Vec<Action<'static>> {
        let balancers = self.balancers.keys().copied().take(MAX_BALANCERS_TOLD);
        vec![Action::send(
            agent,
            Message::BalancerList(balancers.collect()),
        )]
    }

    /// Takes in balancers that use another agent, and reports to them.
    pub fn on_balancer_list(
        &mut self,
        balancers: &[SocketAddrV4],
        now: Instant,
    ) -> Vec<Action<'static>> {
        let unknown: Vec<_> = balancers
            .iter()
            .take(MAX_BALANCERS_TOLD)
            .filter(|balancer| !self.balancers.contains_key(balancer))
            .copied()
            .collect();
        for balancer in &unknown {
            self.heard(*balancer, now);
        }
        unknown
            .into_iter()
            .filter_map(|balancer| self.report(balancer, now))
            .collect()
    }

    /// Reports to the seed balancers from time to time while the store does not list the agent.
    pub(super) fn introduce(&mut self, now: Instant) -> Vec<Action<'static>> {
        let elapsed = now.saturating_duration_since(self.introduced_at);
        if self.is_registered || self.target.is_none() || elapsed < INTRODUCTION_INTERVAL {
            return Vec::new();
        }
        self.introduced_at = now;
        let record = self.record(now);
        let load = self.load(now);
        let report = Message::Report { record, load };
        let seeds = self.identity.seed_balancers.iter();
        seeds
            .map(|seed| Action::send(*seed, report.clone()))
            .collect()
    }

    /// Reports to all balancers at once, after a change that they should know.
    pub(super) fn announce(&mut self, now: Instant) -> Vec<Action<'static>> {
        let record = self.record(now);
        let event = FlowEvent::TargetChanged {
            agent: record.address,
            service: record.service,
            incarnation: record.incarnation,
            state: record.state,
        };
        let balancers: Vec<_> = self.balancers.keys().copied().collect();
        let mut actions = vec![Action::RecordEvent(event)];
        for balancer in balancers {
            actions.extend(self.report(balancer, now));
        }
        actions
    }

    pub(super) fn report(
        &mut self,
        balancer: SocketAddrV4,
        now: Instant,
    ) -> Option<Action<'static>> {
        let record = self.record(now);
        let load = self.load(now);
        self.balancers.get_mut(&balancer)?.reported = Some(now);
        Some(Action::send(balancer, Message::Report { record, load }))
    }

    pub(super) fn heard(&mut self, balancer: SocketAddrV4, now: Instant) -> &mut KnownBalancer {
        let known = self.balancers.entry(balancer).or_insert(KnownBalancer {
            heard: now,
            opened: None,
            reported: None,
        });
        known.heard = now;
        known
    }
}
