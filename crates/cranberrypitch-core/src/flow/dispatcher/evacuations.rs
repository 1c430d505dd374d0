//! Evacuations of failure domains at a balancer.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::Dispatcher;
use super::table::FlowState;
use crate::flow::cause::ResetCause;
use crate::flow::evacuation::{
    EvacuationDiff, EvacuationRead, EvacuationSet, EvacuationVersion, evacuation_messages,
};
use crate::flow::event::FlowEvent;
use crate::flow::message::Action;
use crate::flow::packet::FlowKey;
use crate::ids::FailureDomain;
use crate::target::TargetState;

impl Dispatcher {
    /// Returns the evacuations in force.
    pub const fn evacuations(&self) -> &EvacuationSet {
        self.directory.evacuations.in_force()
    }

    /// Applies the set of another balancer, unless its version is not higher than that of the set in force.
    pub fn on_evacuations(&mut self, set: EvacuationSet, now: Instant) -> Vec<Action<'static>> {
        let diff = self.directory.evacuations.on_set(set, now);
        self.on_evacuations_changed(diff, now)
    }

    /// Applies a read of the store.
    pub fn on_evacuation_read(
        &mut self,
        read: EvacuationRead,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let diff = self.directory.evacuations.on_read(read, now);
        self.on_evacuations_changed(diff, now)
    }

    /// Processes the version of the set that an agent reports. Sends the set in force if the agent has an
    /// older one: its messages may be lost, or the agent has restarted.
    pub fn on_evacuation_report(
        &self,
        agent: SocketAddrV4,
        version: EvacuationVersion,
    ) -> Vec<Action<'static>> {
        let in_force = self.evacuations();
        let is_older = version < in_force.version;
        evacuation_messages(in_force, is_older.then_some(agent).into_iter())
    }

    fn on_evacuations_changed(
        &mut self,
        diff: EvacuationDiff,
        now: Instant,
    ) -> Vec<Action<'static>> {
        if diff.is_empty() {
            return Vec::new();
        }
        let version = self.evacuations().version;
        let begun = diff.begun.into_iter().map(|failure_domain| {
            Action::RecordEvent(FlowEvent::EvacuationInForce {
                agent_count: self.agent_count_in(&failure_domain),
                failure_domain,
                version,
            })
        });
        let ended = diff.ended.into_iter().map(|failure_domain| {
            Action::RecordEvent(FlowEvent::EvacuationEnded {
                failure_domain,
                version,
            })
        });
        let mut actions: Vec<_> = begun.chain(ended).collect();
        let agents = self.directory.agents().map(|agent| &agent.record);
        let receivers = agents.filter(|record| record.state != TargetState::Gone);
        let addresses = receivers.map(|record| record.address);
        actions.extend(evacuation_messages(self.evacuations(), addresses));
        actions.extend(self.place_pending_flows(now));
        actions.extend(self.reset_flows_without_targets(now));
        actions
    }

    fn agent_count_in(&self, failure_domain: &FailureDomain) -> usize {
        let agents = self.directory.agents();
        agents
            .filter(|agent| agent.record.failure_domain == *failure_domain)
            .count()
    }

    /// Resets the flows that wait for a target of a service whose targets are all evacuated now.
    fn reset_flows_without_targets(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for flow in self.flows.pending_flows() {
            let is_waiting = matches!(
                self.flows.get(&flow).map(|entry| &entry.state),
                Some(FlowState::Opening(opening)) if opening.agent.is_none()
            );
            if is_waiting && self.has_only_evacuated_targets(flow) {
                actions.extend(self.abandon_open(flow, ResetCause::Evacuated, now));
            }
        }
        actions
    }

    /// Returns whether all ready targets of the service of a flow that is being opened are evacuated.
    pub(super) fn has_only_evacuated_targets(&self, flow: FlowKey) -> bool {
        match self.flows.get(&flow).map(|entry| &entry.state) {
            Some(FlowState::Opening(opening)) => {
                self.directory.is_service_evacuated(opening.service_tag())
            }
            _ => false,
        }
    }
}
