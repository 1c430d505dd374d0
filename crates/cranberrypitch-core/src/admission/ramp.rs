//! How many slots may be used at a moment.

use std::time::{Duration, Instant};

use super::options::ColdStart;

/// What the backend server may be given, as its health is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityLimit {
    /// Nothing: requests are refused, also those that wait.
    Blocked,
    /// At most this many requests at once, to find out whether it works.
    Probe(u32),
    /// At most this many requests at once, because it shed one beyond them; feeds may open.
    Limited(u32),
    /// A ramp of slots that begins now.
    Ramp,
    /// All slots.
    AllSlots,
}

/// The slots over time.
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

    /// Returns whether feeds may open: one that opens during a probe would be cut if it fails.
    pub(super) fn takes_feeds(&self) -> bool {
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
            CapacityLimit::Ramp => self.first().saturating_add(self.steps(now)).min(self.limit),
            CapacityLimit::AllSlots => self.limit,
        }
    }

    /// Returns when the next slot is added.
    pub(super) fn next_step(&self, now: Instant) -> Option<Instant> {
        if !self.is_ramping(now) {
            return None;
        }
        Some(self.since + self.step() * (self.steps(now) + 1))
    }

    fn first(&self) -> u32 {
        self.cold_start.first_slots.get()
    }

    /// Returns the time between two added slots.
    fn step(&self) -> Duration {
        self.cold_start.ramp / (self.limit - self.first()).max(1)
    }

    fn steps(&self, now: Instant) -> u32 {
        let step = self.step();
        let elapsed = now.saturating_duration_since(self.since);
        if step.is_zero() {
            return self.limit;
        }
        u32::try_from(elapsed.as_nanos() / step.as_nanos()).unwrap_or(u32::MAX)
    }
}
