//! Reports of an agent to balancers, and discovery of balancers without the store.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowAgent, FlowAgentOptions};
use crate::collections::FastSet;
use crate::flow::config_reads::ConfigCheck;
use crate::flow::evacuation::EvacuationSet;
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, Message};

/// The time between two reports of an unregistered agent to its seed balancers.
const SEED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The time for which a new agent reports to its seed balancers although it is registered. It allows
/// for lost reports.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(1500);

/// The maximum number of agents that are queried for balancers at once.
const MAX_QUERIED_AGENTS: usize = 16;

/// The maximum number of balancers in a [`Message::BalancerList`].
const MAX_LISTED_BALANCERS: usize = 64;

/// A balancer that the agent reports to.
#[derive(Clone, Copy, Debug)]
pub(super) struct BalancerEntry {
    /// The time of its last message.
    pub(super) last_message: Instant,
    /// The time of its last request to open a flow at this agent.
    pub(super) last_open: Option<Instant>,
    /// The time of the last report to it.
    reported_at: Option<Instant>,
}

impl BalancerEntry {
    pub(super) fn is_report_due(&self, options: &FlowAgentOptions, now: Instant) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let is_opening_flows = self
            .last_open
            .is_some_and(|at| elapsed(at) < options.idle_report_interval * 2);
        let interval = if is_opening_flows {
            options.report_interval
        } else {
            options.idle_report_interval
        };
        self.reported_at.is_none_or(|at| elapsed(at) >= interval)
    }
}

impl FlowAgent {
    /// Sets whether the store lists the agent. An unlisted agent reports to its seed balancers.
    pub const fn set_registered(&mut self, is_registered: bool) {
        self.is_registered = is_registered;
    }

    /// Queries the agents of a [`Message::AgentList`] for their balancers.
    pub fn on_agent_list(&self, agents: &[SocketAddrV4]) -> Vec<Action<'static>> {
        let query = |agent: &SocketAddrV4| Action::send(*agent, Message::BalancerQuery);
        let agents = agents.iter().take(MAX_QUERIED_AGENTS);
        agents.map(query).collect()
    }

    /// Answers another agent's query for balancers.
    pub fn on_balancer_query(&self, agent: SocketAddrV4) -> Vec<Action<'static>> {
        let balancers = self.balancers.keys().copied().take(MAX_LISTED_BALANCERS);
        vec![Action::send(
            agent,
            Message::BalancerList(balancers.collect()),
        )]
    }

    /// Adds the balancers of another agent that are new, and reports to them.
    pub fn on_balancer_list(
        &mut self,
        balancers: &[SocketAddrV4],
        now: Instant,
    ) -> Vec<Action<'static>> {
        let new_balancers: Vec<_> = balancers
            .iter()
            .take(MAX_LISTED_BALANCERS)
            .filter(|balancer| !self.balancers.contains_key(balancer))
            .copied()
            .collect();
        for balancer in &new_balancers {
            self.on_balancer_message(*balancer, now);
        }
        new_balancers
            .into_iter()
            .filter_map(|balancer| self.report(balancer, now))
            .collect()
    }

    /// Relays a balancer's check of the configuration to all other balancers that the agent knows, and
    /// applies the evacuations that come with it. A balancer that only sends checks gets those of others,
    /// but no reports.
    pub fn on_config_check(
        &mut self,
        balancer: SocketAddrV4,
        check: &ConfigCheck,
        evacuations: &EvacuationSet,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let mut actions = self.on_evacuations(evacuations.clone());
        // A check is relayed once: balancers must not receive it later with the age that it had here.
        if check.checked_by != balancer {
            return actions;
        }
        self.config_checkers.insert(balancer, now);
        let checkers = self.config_checkers.keys();
        let receivers: FastSet<_> = self.balancers.keys().chain(checkers).copied().collect();
        let message = Message::ConfigCheck {
            check: *check,
            evacuations: evacuations.clone(),
        };
        let relay = |receiver| Action::send(receiver, message.clone());
        let others = receivers.into_iter().filter(|other| *other != balancer);
        actions.extend(others.map(relay));
        actions
    }

    /// Removes the balancers that have sent nothing for the lifetime of a balancer.
    pub(super) fn remove_silent_balancers(&mut self, now: Instant) {
        let lifetime = self.options.balancer_lifetime;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < lifetime;
        self.balancers
            .retain(|_, balancer| is_recent(balancer.last_message));
        self.config_checkers
            .retain(|_, checked_at| is_recent(*checked_at));
    }

    /// Reports to the seed balancers at [`SEED_REPORT_INTERVAL`] while the store does not list the
    /// agent, and after the start of the target. A seed balancer that does not know the agent replies
    /// with agents whose balancers use the same targets, so that new targets get flows before balancers
    /// read the list of agents again.
    pub(super) fn report_to_seeds(&mut self, now: Instant) -> Vec<Action<'static>> {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let is_new = self
            .announced_since
            .is_none_or(|since| elapsed(since) < ANNOUNCEMENT_TIME);
        let is_due = self
            .seeds_reported_at
            .is_none_or(|at| elapsed(at) >= SEED_REPORT_INTERVAL);
        if self.target.is_none() || !is_due || (self.is_registered && !is_new) {
            return Vec::new();
        }
        self.announced_since.get_or_insert(now);
        self.seeds_reported_at = Some(now);
        let record = self.record(now);
        let load = self.load(now);
        let report = Message::Report {
            record,
            load,
            evacuations: self.evacuations.version,
        };
        let seeds = self.identity.seed_balancers.iter();
        seeds
            .map(|seed| Action::send(*seed, report.clone()))
            .collect()
    }

    /// Records a change of the target and reports it to all balancers immediately.
    pub(super) fn report_change(&mut self, now: Instant) -> Vec<Action<'static>> {
        self.update_flow_list(now);
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

    /// Returns a report to a balancer, or nothing if the balancer has no entry.
    pub(super) fn report(
        &mut self,
        balancer: SocketAddrV4,
        now: Instant,
    ) -> Option<Action<'static>> {
        let record = self.record(now);
        let load = self.load(now);
        self.balancers.get_mut(&balancer)?.reported_at = Some(now);
        let report = Message::Report {
            record,
            load,
            evacuations: self.evacuations.version,
        };
        Some(Action::send(balancer, report))
    }

    /// Records a message of a balancer, and adds the balancer if it is new.
    pub(super) fn on_balancer_message(
        &mut self,
        balancer: SocketAddrV4,
        now: Instant,
    ) -> &mut BalancerEntry {
        let entry = self.balancers.entry(balancer).or_insert(BalancerEntry {
            last_message: now,
            last_open: None,
            reported_at: None,
        });
        entry.last_message = now;
        entry
    }
}
