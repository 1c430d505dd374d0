//! The flow table of a balancer.

use std::time::{Duration, Instant};

use super::established::EstablishedFlow;
use super::lookup::state::FlowLookup;
use super::pending_open::state::PendingOpen;
use super::unrouted::state::RouteWait;
use crate::collections::{FastMap, FastSet};
use crate::flow::packet::FlowKey;

/// The time between two sweeps for expired flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// The state of a flow at a balancer.
#[derive(Debug)]
pub(super) enum FlowState {
    /// The SYN has no final reply from an agent yet.
    Opening(Box<PendingOpen>),
    /// The target of an agent holds the flow.
    Established(EstablishedFlow),
    /// The agent of the flow is being looked up.
    LookingUp(Box<FlowLookup>),
    /// The flow has no route, which was dropped or is not known yet.
    AwaitingRoute(Box<RouteWait>),
}

#[derive(Debug)]
pub(super) struct FlowEntry {
    pub(super) state: FlowState,
    pub(super) last_packet_at: Instant,
}

/// The flows of a balancer, with an index of those that are not established.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: FastMap<FlowKey, FlowEntry>,
    /// The flows that are not established yet.
    pending: FastSet<FlowKey>,
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
        if matches!(state, FlowState::Established(_)) {
            self.pending.remove(&flow);
        } else {
            self.pending.insert(flow);
        }
        let entry = FlowEntry {
            state,
            last_packet_at: now,
        };
        self.flows.insert(flow, entry);
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<FlowState> {
        self.pending.remove(flow);
        self.flows.remove(flow).map(|entry| entry.state)
    }

    pub(super) fn pending_flows(&self) -> Vec<FlowKey> {
        self.pending.iter().copied().collect()
    }

    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn has_pending_flows(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Removes flows without packets for at least `lifetime`.
    pub(super) fn sweep(&mut self, lifetime: Duration, now: Instant) {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        if self.swept_at.is_some_and(|at| elapsed(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        let pending = &mut self.pending;
        self.flows.retain(|flow, entry| {
            let is_kept = elapsed(entry.last_packet_at) < lifetime;
            if !is_kept {
                pending.remove(flow);
            }
            is_kept
        });
    }
}
