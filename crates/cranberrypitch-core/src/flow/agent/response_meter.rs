//! The share of a target's responses that fail, as its agent observes them.

use std::time::{Duration, Instant};

/// The time constant with which past responses decay.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// The number of failures that a restart of a target counts as: its flows were lost, and a target that
/// restarts repeatedly should be avoided.
const RESTART_FAILURES: f64 = 4.0;

/// The number of assumed successes, so that a single failure has little weight.
const ASSUMED_SUCCESSES: f64 = 1.0;

/// The HTTP status codes that count as failures of the target. A busy or draining target (503) reports
/// that in its status, and errors of callers (4xx) are not failures of the target.
const FAILURE_STATUSES: [u16; 3] = [500, 502, 504];

/// Returns whether a response with an HTTP status code is a failure of the target.
pub(super) fn is_failure(status: u16) -> bool {
    FAILURE_STATUSES.contains(&status)
}

/// Counts successful and failed responses, with exponential decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseMeter {
    successes: f64,
    failures: f64,
    decayed_at: Instant,
}

impl ResponseMeter {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            successes: 0.0,
            failures: 0.0,
            decayed_at: now,
        }
    }

    pub(super) fn on_response(&mut self, is_failed: bool, now: Instant) {
        self.decay(now);
        if is_failed {
            self.failures += 1.0;
        } else {
            self.successes += 1.0;
        }
    }

    pub(super) fn on_restart(&mut self, now: Instant) {
        self.decay(now);
        self.failures += RESTART_FAILURES;
    }

    /// Returns the share of the responses that failed, in percent.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is between 0 and 100"
    )]
    pub(super) fn failed_responses_percent(&mut self, now: Instant) -> u8 {
        self.decay(now);
        (100.0 * self.failures / (self.failures + self.successes + ASSUMED_SUCCESSES)) as u8
    }

    /// Returns the number of responses, weighted by their age.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range"
    )]
    pub(super) fn weighted_responses(&mut self, now: Instant) -> u8 {
        self.decay(now);
        (self.failures + self.successes).min(f64::from(u8::MAX)) as u8
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        let factor = (-elapsed.div_duration_f64(DECAY_TIME_CONSTANT)).exp();
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = self.decayed_at.max(now);
    }
}
