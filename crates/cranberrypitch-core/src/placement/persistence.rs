//! An estimate of how long a difference in load between targets persists.
//!
//! A report is already old when a flow is placed by it. With short requests or with handoff, a
//! target that was busier than the others at the time of the report no longer is, and following the
//! report only adds noise. With long requests the difference persists. The decay is fitted to
//! successive reports.

use std::time::Duration;

/// The factor by which the sums decay with each report.
const SMOOTHING_FACTOR: f64 = 0.998;

/// Two reports that are further apart are not used, as a report between them was lost.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// The lower bound of the share of a difference that persists from one report to the next.
const MIN_SHARE: f64 = 1e-6;

/// A linear regression of each reported difference from the mean on the previous one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Persistence {
    products: f64,
    squares: f64,
    interval_s: f64,
}

impl Persistence {
    /// Returns the initial estimate, by which half of a difference is left after 200 ms. A few
    /// hundred reports replace it.
    pub(crate) fn new() -> Self {
        Self {
            products: 5.0,
            squares: 10.0,
            interval_s: 0.2,
        }
    }

    /// Adds two successive differences of a target's load per slot from the mean, taken `interval`
    /// apart.
    pub(crate) fn record(&mut self, before: f64, after: f64, interval: Duration) {
        if interval.is_zero() || interval > MAX_INTERVAL {
            return;
        }
        self.products = self.products * SMOOTHING_FACTOR + before * after;
        self.squares = self.squares * SMOOTHING_FACTOR + before * before;
        self.interval_s =
            self.interval_s * SMOOTHING_FACTOR + interval.as_secs_f64() * (1.0 - SMOOTHING_FACTOR);
    }

    /// Returns the natural logarithm of the share of a difference that is left after one second.
    pub(crate) fn decay_per_second(&self) -> f64 {
        let share = self.products / self.squares.max(MIN_SHARE);
        share.clamp(MIN_SHARE, 1.0).ln() / self.interval_s
    }
}
