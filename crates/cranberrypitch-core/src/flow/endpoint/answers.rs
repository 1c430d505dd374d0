//! How many of a target's answers fail, as its agent sees them.

use std::time::{Duration, Instant};

/// The time over which answers are forgotten.
const MEMORY: Duration = Duration::from_secs(3);

/// The failures that a new start of a target counts for. Its flows ended, and one that starts again and
/// again is avoided.
const RESTART_FAILURES: f64 = 4.0;

/// Good answers that are presumed, so that a single failure says little.
const PRESUMED_GOOD: f64 = 1.0;

/// The HTTP statuses of a target that fails. One that is busy or leaves (503) says so by other means,
/// and a mistake of a caller is not the target's.
const FAILURE_STATUSES: [u16; 3] = [500, 502, 504];

/// Returns whether an answer with a status says that the target failed.
pub(super) fn is_failure(status: u16) -> bool {
    FAILURE_STATUSES.contains(&status)
}

/// Counts answers, old ones less.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerMeter {
    good: f64,
    failed: f64,
    settled_at: Instant,
}

impl AnswerMeter {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            good: 0.0,
            failed: 0.0,
            settled_at: now,
        }
    }

    pub(super) fn note(&mut self, is_failed: bool, now: Instant) {
        self.settle(now);
        if is_failed {
            self.failed += 1.0;
        } else {
            self.good += 1.0;
        }
    }

    pub(super) fn note_restart(&mut self, now: Instant) {
        self.settle(now);
        self.failed += RESTART_FAILURES;
    }

    /// Returns the part of the answers that failed, in hundredths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is between 0 and 100"
    )]
    pub(super) fn failed_responses_percent(&mut self, now: Instant) -> u8 {
        self.settle(now);
        (100.0 * self.failed / (self.failed + self.good + PRESUMED_GOOD)) as u8
    }

    fn settle(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.settled_at);
        let left = (-elapsed.div_duration_f64(MEMORY)).exp();
        self.good *= left;
        self.failed *= left;
        self.settled_at = self.settled_at.max(now);
    }
}
