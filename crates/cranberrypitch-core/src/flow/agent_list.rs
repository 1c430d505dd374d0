//! How far a balancer knows the agent list in the store.

use std::time::{Duration, Instant};

/// The time after the start of an epoch of the store within which agents have registered again: they renew
/// their leases every 2.8 s, and notice then that the store lost their registration.
const REGISTRATION_TIME: Duration = Duration::from_millis(3500);

/// The time as of which a balancer knows the agent list in the store, as evidence that a flow which no listed
/// agent holds is not open.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentListProgress {
    /// The epoch of the last listing.
    epoch: Option<u64>,
    /// The time from which on the list is complete again after the store was restored from a copy.
    complete_from: Option<Instant>,
}

impl AgentListProgress {
    /// Records a listing of all agents in an epoch of the store, received at `now`. A listing alone does
    /// not show as of when the list is known, as its pages are no consistent view of the store. In a
    /// later epoch than before, it lacks the agents whose registrations the store has lost.
    pub fn on_listing(&mut self, epoch: u64, now: Instant) {
        if self.epoch.is_some_and(|earlier| earlier < epoch) {
            self.complete_from = Some(now + REGISTRATION_TIME);
        }
        self.epoch = Some(epoch);
    }

    /// Records a read of all changes since the last read. `started_at` is the start of the read. Returns
    /// the time as of which the list is known, or nothing if agents may be missing from it.
    pub fn on_changes(&self, started_at: Instant) -> Option<Instant> {
        let is_listed = self.epoch.is_some();
        let is_complete = self.complete_from.is_none_or(|from| started_at >= from);
        (is_listed && is_complete).then_some(started_at)
    }
}
