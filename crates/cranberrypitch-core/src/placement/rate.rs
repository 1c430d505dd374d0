//! The rate at which a balancer places flows.

use std::time::{Duration, Instant};

/// The time constant of the mean. It exceeds the age of a report, so that a burst since the last
/// report differs from the mean.
const WINDOW: Duration = Duration::from_secs(2);

/// An exponentially weighted mean of the placements per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PickRate {
    per_second: f64,
    recorded_at: Option<Instant>,
}

impl PickRate {
    pub(crate) fn record(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + WINDOW.as_secs_f64().recip();
        self.recorded_at = Some(now);
    }

    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let elapsed = self
            .recorded_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.per_second * (-elapsed.div_duration_f64(WINDOW)).exp()
    }
}
