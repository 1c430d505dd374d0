//! The table of flows.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::locating::Locating;
use super::opening::Opening;
use crate::collections::{FastMap, FastSet};
use crate::flow::packet::FlowKey;

/// The time between two searches for old flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// What a balancer knows of a flow.
#[derive(Debug)]
pub(super) enum FlowState {
    /// The opening packet waits for the answer of an agent.
    Opening(Box<Opening>),
    /// The flow is at this agent.
    Held(SocketAddrV4),
    /// The agents are asked for the flow.
    Locating(Box<Locating>),
}

#[derive(Debug)]
pub(super) struct FlowEntry {
    pub(super) state: FlowState,
    pub(super) used_at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: FastMap<FlowKey, FlowEntry>,
    /// Flows that are not held yet.
    unsettled: FastSet<FlowKey>,
    swept_at: Option<Instant>,
}

impl FlowTable {
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn get(&self, flow: &FlowKey) -> Option<&FlowEntry> {
        self.flows.get(flow)
    }

    pub(super) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut FlowEntry> {
        self.flows.get_mut(flow)
    }

    pub(super) fn insert(&mut self, flow: FlowKey, state: FlowState, now: Instant) {
        if matches!(state, FlowState::Held(_)) {
            self.unsettled.remove(&flow);
        } else {
            self.unsettled.insert(flow);
        }
        let entry = FlowEntry {
            state,
            used_at: now,
        };
        self.flows.insert(flow, entry);
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<FlowState> {
        self.unsettled.remove(flow);
        self.flows.remove(flow).map(|entry| entry.state)
    }

    pub(super) fn unsettled(&self) -> Vec<FlowKey> {
        self.unsettled.iter().copied().collect()
    }

    pub(super) fn unsettled_len(&self) -> usize {
        self.unsettled.len()
    }

    pub(super) fn has_pending_flows(&self) -> bool {
        !self.unsettled.is_empty()
    }

    /// Forgets flows without packets for longer than `lifetime`.
    pub(super) fn sweep(&mut self, lifetime: Duration, now: Instant) {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        if self.swept_at.is_some_and(|at| elapsed(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        let unsettled = &mut self.unsettled;
        self.flows.retain(|flow, entry| {
            let is_kept = elapsed(entry.used_at) < lifetime;
            if !is_kept {
                unsettled.remove(flow);
            }
            is_kept
        });
    }
}
