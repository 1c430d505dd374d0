//! A limit on messages per second.

use std::time::Instant;

/// The share of a second's messages that may go out at once.
const BURST_SECONDS: f64 = 0.25;

/// The messages that only offers and declines may use: a notice can wait, a reserved slot is idle.
const KEPT_BACK: f64 = 4.0;

#[derive(Debug)]
pub(super) struct Limiter {
    per_second: f64,
    left: f64,
    filled_at: Instant,
}

impl Limiter {
    pub(super) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            left: per_second * BURST_SECONDS,
            filled_at: now,
        }
    }

    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        self.take_above(0.0, now)
    }

    pub(super) fn try_take_spare(&mut self, now: Instant) -> bool {
        self.take_above(KEPT_BACK, now)
    }

    fn take_above(&mut self, floor: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let filled = self.left + elapsed.as_secs_f64() * self.per_second;
        self.left = filled.min(self.per_second * BURST_SECONDS);
        self.filled_at = self.filled_at.max(now);
        let may_take = self.left >= floor + 1.0;
        if may_take {
            self.left -= 1.0;
        }
        may_take
    }
}
