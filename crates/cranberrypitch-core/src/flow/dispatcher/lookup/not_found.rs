//! Lookups that no agent holds the flow of, and the evidence for the reset of such a flow.

use std::time::Instant;

use super::state::{FlowLookup, Progress};
use crate::flow::directory::AgentEntry;
use crate::flow::dispatcher::Dispatcher;
use crate::flow::dispatcher::table::FlowState;
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, reset};
use crate::flow::packet::{FlowKey, PacketFlags};
use crate::flow::reset_evidence::ResetEvidence;

impl Dispatcher {
    /// Ends a lookup without a result. Resets the flow if the agent list is current and all its agents
    /// were queried.
    pub(super) fn on_not_found<'a>(&mut self, flow: FlowKey, now: Instant) -> Vec<Action<'a>> {
        let Some(lookup) = self.lookup_mut(flow) else {
            return Vec::new();
        };
        lookup.progress = Progress::NotFound { since: now };
        let unanswered: Vec<_> = lookup.unanswered.iter().copied().collect();
        let (queried_agents, started_at) = (lookup.queried.len(), lookup.started_at);
        let silences = unanswered
            .iter()
            .map(|agent| (*agent, self.liveness.silence(*agent, now)));
        let event = FlowEvent::NotLocated {
            flow,
            queried_agents,
            unresponsive_agents: unanswered.len(),
            excluding_agents: self.directory.excluding_agents(&flow, now),
            longest_silent: silences.max_by_key(|(_, silence)| *silence),
            elapsed: now.saturating_duration_since(started_at),
        };
        let mut actions = vec![Action::RecordEvent(event)];
        actions.extend(match self.not_held_evidence(flow) {
            Some(evidence) => self.reset_unless_agents_left(flow, evidence, now),
            None => vec![Action::RefreshAgents],
        });
        actions
    }

    /// Records that all changes of the agent list before `as_of` are applied. Flows whose lookup started
    /// before and found no agent are reset, so that their callers open new flows immediately. If agents
    /// were added that have not been queried, the lookup continues there instead.
    pub fn on_agents_refreshed(&mut self, as_of: Instant, now: Instant) -> Vec<Action<'static>> {
        self.agent_list_as_of = self.agent_list_as_of.max(Some(as_of));
        let mut actions = Vec::new();
        for flow in self.flows.pending_flows() {
            let is_not_found = |lookup: &FlowLookup| lookup.progress.is_not_found();
            if self.lookup(flow).is_some_and(is_not_found)
                && let Some(evidence) = self.not_held_evidence(flow)
            {
                actions.extend(self.reset_unless_agents_left(flow, evidence, now));
            }
        }
        actions
    }

    /// Returns the evidence that a flow which no known agent holds is not open, if the agent list is
    /// known as of a time after its lookup began.
    pub(super) fn not_held_evidence(&self, flow: FlowKey) -> Option<ResetEvidence> {
        let needed_as_of = self.lookup(flow)?.list_needed_as_of();
        ResetEvidence::not_held(needed_as_of, self.agent_list_as_of)
    }

    /// Resets a flow that was not found, or continues its lookup if the agent list shows agents to wait for:
    /// one that was not queried, or a silent one that stopped as planned.
    fn reset_unless_agents_left<'a>(
        &mut self,
        flow: FlowKey,
        evidence: ResetEvidence,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let Some(lookup) = self.lookup(flow) else {
            return Vec::new();
        };
        let is_new = |agent: &AgentEntry| {
            self.directory.may_hold_flow(agent, &flow, now)
                && !lookup.queried.contains(&agent.record.address)
        };
        let has_new = self.directory.agents().any(is_new);
        if !has_new && !self.is_awaiting_reply(flow, now) {
            return self.reset_not_found(flow, evidence);
        }
        if let Some(lookup) = self.lookup_mut(flow) {
            lookup.progress = Progress::Querying;
        }
        self.query_stage(flow, now)
    }

    /// Removes a flow that was not found and resets it, unless its last packet was a reset.
    fn reset_not_found<'a>(&mut self, flow: FlowKey, evidence: ResetEvidence) -> Vec<Action<'a>> {
        let Some(FlowState::LookingUp(lookup)) = self.flows.remove(&flow) else {
            return Vec::new();
        };
        if lookup.header.flags.contains(PacketFlags::RST) {
            return Vec::new();
        }
        reset(&lookup.header, evidence)
    }
}
