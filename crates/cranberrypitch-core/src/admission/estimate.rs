//! An estimate of the wait for a slot.

use std::time::{Duration, Instant};

/// The weight of one service time in the moving average is one over this.
const AVERAGE_WINDOW: u32 = 16;

/// A gap between finishes that is this many times the expected one counts as a stall. Gaps of
/// exponential service exceed it in fewer than 2% of cases.
const STALL_FACTOR: u32 = 4;

/// The service times seen.
#[derive(Debug)]
pub(super) struct ServiceTime {
    average: Option<Duration>,
    last_progress: Instant,
}

impl ServiceTime {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            average: None,
            last_progress: now,
        }
    }

    /// Notes that the backend server or its allowance moved on.
    pub(super) fn progressed(&mut self, now: Instant) {
        self.last_progress = now;
    }

    pub(super) fn finished(&mut self, elapsed: Duration, now: Instant) {
        self.last_progress = now;
        self.average = Some(match self.average {
            None => elapsed,
            Some(average) => (average * (AVERAGE_WINDOW - 1) + elapsed) / AVERAGE_WINDOW,
        });
    }

    /// Returns the expected wait of a request with `ahead` others before it when all slots are
    /// taken, or `None` before the first service time.
    pub(super) fn expected_wait(&self, ahead: u32, slots: u32, now: Instant) -> Option<Duration> {
        let gap = self.average? / slots;
        let stall = now.saturating_duration_since(self.last_progress) / STALL_FACTOR;
        Some(gap.max(stall).saturating_mul(ahead.saturating_add(1)))
    }
}
