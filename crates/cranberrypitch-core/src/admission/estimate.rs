//! An estimate of the time that a request waits for a slot.

use std::time::{Duration, Instant};

/// One service time has the weight `1 / AVERAGE_WINDOW` in the moving average.
const AVERAGE_WINDOW: u32 = 16;

/// A gap between two completions that exceeds the expected gap by this factor counts as a stall.
/// With exponentially distributed service times this happens in fewer than 2% of the gaps.
const STALL_FACTOR: u32 = 4;

/// A moving average of service times, and the time of the last progress.
#[derive(Debug)]
pub(super) struct ServiceTimeEstimate {
    average: Option<Duration>,
    last_progress: Instant,
}

impl ServiceTimeEstimate {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            average: None,
            last_progress: now,
        }
    }

    /// Records that a request has started or the capacity limit has changed.
    pub(super) fn on_progress(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Adds the service time of a finished request.
    pub(super) fn record(&mut self, elapsed: Duration, now: Instant) {
        self.last_progress = now;
        self.average = Some(match self.average {
            None => elapsed,
            Some(average) => (average * (AVERAGE_WINDOW - 1) + elapsed) / AVERAGE_WINDOW,
        });
    }

    /// Returns the expected wait of a request behind `ahead` others while all slots are in use, or
    /// `None` before the first service time.
    pub(super) fn expected_wait(&self, ahead: u32, slots: u32, now: Instant) -> Option<Duration> {
        let gap = self.average? / slots;
        let stall = now.saturating_duration_since(self.last_progress) / STALL_FACTOR;
        Some(gap.max(stall).saturating_mul(ahead.saturating_add(1)))
    }
}
