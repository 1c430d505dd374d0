//! The rate of a balancer's own picks.

use std::time::{Duration, Instant};

/// The time over which the rate is averaged. It is longer than a report is old, so that a burst
/// since the last report stands out.
const WINDOW: Duration = Duration::from_secs(2);

/// An exponentially weighted mean of picks per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PickRate {
    per_second: f64,
    noted_at: Option<Instant>,
}

impl PickRate {
    pub(crate) fn note(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + WINDOW.as_secs_f64().recip();
        self.noted_at = Some(now);
    }

    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let elapsed = self
            .noted_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.per_second * (-elapsed.div_duration_f64(WINDOW)).exp()
    }
}
