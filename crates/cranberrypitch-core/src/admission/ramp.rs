//! The number of slots that may be used at a given time.

use std::time::{Duration, Instant};

use super::options::ColdStart;

/// The limit that the health of the backend server sets on its use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityLimit {
    /// No requests; those that wait are refused as well.
    Blocked,
    /// At most this many concurrent requests, and no feeds, to probe whether it works.
    Probe(u32),
    /// At most this many concurrent requests, because it has shed one beyond them; feeds are
    /// accepted.
    Limited(u32),
    /// A number of slots that grows from now on, as set by [`ColdStart`].
    Ramp,
    /// All configured slots.
    AllSlots,
}

/// The number of usable slots as a function of time.
#[derive(Debug)]
pub(super) struct Ramp {
    limit: u32,
    cold_start: ColdStart,
    capacity_limit: CapacityLimit,
    since: Instant,
}

impl Ramp {
    pub(super) fn new(limit: u32, cold_start: ColdStart, now: Instant) -> Self {
        Self {
            limit,
            cold_start,
            capacity_limit: CapacityLimit::Ramp,
            since: now,
        }
    }

    pub(super) fn set_limit(&mut self, limit: u32, cold_start: ColdStart) {
        self.limit = limit;
        self.cold_start = cold_start;
    }

    pub(super) fn set_capacity_limit(&mut self, capacity_limit: CapacityLimit, now: Instant) {
        self.capacity_limit = capacity_limit;
        self.since = now;
    }

    /// Returns whether feeds may be opened. During a probe they may not, as a failed probe would
    /// cut them.
    pub(super) fn accepts_feeds(&self) -> bool {
        !matches!(
            self.capacity_limit,
            CapacityLimit::Blocked | CapacityLimit::Probe(_)
        )
    }

    fn is_ramping(&self, now: Instant) -> bool {
        self.capacity_limit == CapacityLimit::Ramp && self.slots(now) < self.limit
    }

    /// Returns the slots that may be used at `now`.
    pub(super) fn slots(&self, now: Instant) -> u32 {
        match self.capacity_limit {
            CapacityLimit::Blocked => 0,
            CapacityLimit::Probe(requests) | CapacityLimit::Limited(requests) => {
                requests.min(self.limit)
            }
            CapacityLimit::Ramp => self
                .first_slots()
                .saturating_add(self.elapsed_steps(now))
                .min(self.limit),
            CapacityLimit::AllSlots => self.limit,
        }
    }

    /// Returns when the next slot becomes usable, if the slots are still growing.
    pub(super) fn next_step(&self, now: Instant) -> Option<Instant> {
        if !self.is_ramping(now) {
            return None;
        }
        Some(self.since + self.step_duration() * (self.elapsed_steps(now) + 1))
    }

    fn first_slots(&self) -> u32 {
        self.cold_start.first_slots.get()
    }

    /// Returns the time after which one more slot is added.
    fn step_duration(&self) -> Duration {
        self.cold_start.ramp / (self.limit - self.first_slots()).max(1)
    }

    fn elapsed_steps(&self, now: Instant) -> u32 {
        let step = self.step_duration();
        let elapsed = now.saturating_duration_since(self.since);
        if step.is_zero() {
            return self.limit;
        }
        u32::try_from(elapsed.as_nanos() / step.as_nanos()).unwrap_or(u32::MAX)
    }
}
