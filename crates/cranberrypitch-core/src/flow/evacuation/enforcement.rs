//! Which failure domains a balancer may use for a new flow while some are evacuated, and after that.

use std::time::{Duration, Instant};

use super::decision::{EvacuationRead, EvacuationTracker};
use super::state::EvacuationSet;
use crate::collections::FastMap;
use crate::flow::packet::FlowKey;
use crate::ids::FailureDomain;

/// The time after the end of an evacuation within which the share of the flows that may use the domain rises
/// from 0 to 1. Its targets are idle, and all balancers see that at the same time.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// The failure domains whose evacuation began or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EvacuationDiff {
    pub(crate) begun: Vec<FailureDomain>,
    pub(crate) ended: Vec<FailureDomain>,
}

impl EvacuationDiff {
    pub(crate) const fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// The evacuations in force at a balancer, and those that ended recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvacuationEnforcement {
    tracker: EvacuationTracker,
    ended_at: FastMap<FailureDomain, Instant>,
}

impl EvacuationEnforcement {
    /// Returns the set in force.
    pub(crate) const fn in_force(&self) -> &EvacuationSet {
        self.tracker.in_force()
    }

    /// Applies a set of another balancer, and returns what changed.
    pub(crate) fn on_set(&mut self, set: EvacuationSet, now: Instant) -> EvacuationDiff {
        self.update(now, |tracker| tracker.on_set(set, now))
    }

    /// Applies a read of the store, and returns what changed.
    pub(crate) fn on_read(&mut self, read: EvacuationRead, now: Instant) -> EvacuationDiff {
        self.update(now, |tracker| tracker.on_read(read, now))
    }

    /// Returns whether no new flow may reach a failure domain.
    pub(crate) fn is_evacuated(&self, failure_domain: &FailureDomain) -> bool {
        self.in_force().contains(failure_domain)
    }

    /// Returns whether a flow belongs to the share of the flows that may use a domain. It is less than all
    /// only while the ramp after an evacuation lasts.
    pub(crate) fn is_admitted_by_ramp(
        &self,
        failure_domain: &FailureDomain,
        flow: &FlowKey,
        now: Instant,
    ) -> bool {
        let ended_at = self.ended_at.get(failure_domain);
        ended_at.is_none_or(|at| {
            let elapsed = now.saturating_duration_since(*at);
            flow.hash_fraction() < elapsed.div_duration_f64(RAMP_TIME)
        })
    }

    fn update(
        &mut self,
        now: Instant,
        change: impl FnOnce(&mut EvacuationTracker) -> bool,
    ) -> EvacuationDiff {
        let before = self.in_force().failure_domains.clone();
        if !change(&mut self.tracker) {
            return EvacuationDiff::default();
        }
        let after = &self.tracker.in_force().failure_domains;
        let begun: Vec<_> = after.difference(&before).cloned().collect();
        let ended: Vec<_> = before.difference(after).cloned().collect();
        let is_ramping = |at: &Instant| now.saturating_duration_since(*at) < RAMP_TIME;
        self.ended_at
            .retain(|domain, at| is_ramping(at) && !begun.contains(domain));
        self.ended_at
            .extend(ended.iter().map(|domain| (domain.clone(), now)));
        EvacuationDiff { begun, ended }
    }
}
