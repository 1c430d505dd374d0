//! How long a difference between the loads of two targets lasts.
//!
//! A report is old when a flow is placed by it. With short requests, or with handoff, a target that
//! was busier than the others at the time of the report no longer is, and to follow the report adds
//! noise. With long requests the difference lasts. The reports themselves tell which is the case.

use std::time::Duration;

/// The weight of earlier reports against a new one.
const KEEP: f64 = 0.998;

/// Reports that are further apart tell little, as one in between was lost.
const MAX_STEP: Duration = Duration::from_secs(1);

/// The lowest share that is assumed to last from one report to the next.
const MIN_SHARE: f64 = 1e-6;

/// A regression of each reported difference on the one before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Persistence {
    products: f64,
    squares: f64,
    step_s: f64,
}

impl Persistence {
    /// Starts with half of a difference lasting for 200 ms, until a few hundred reports are in.
    pub(crate) fn new() -> Self {
        Self {
            products: 5.0,
            squares: 10.0,
            step_s: 0.2,
        }
    }

    /// Takes in how much a target's load per slot differed from the mean in two reports in a row.
    pub(crate) fn note(&mut self, before: f64, after: f64, step: Duration) {
        if step.is_zero() || step > MAX_STEP {
            return;
        }
        self.products = self.products * KEEP + before * after;
        self.squares = self.squares * KEEP + before * before;
        self.step_s = self.step_s * KEEP + step.as_secs_f64() * (1.0 - KEEP);
    }

    /// Returns the natural logarithm of the share of a difference that is left after a second.
    pub(crate) fn decay_per_second(&self) -> f64 {
        let share = self.products / self.squares.max(MIN_SHARE);
        share.clamp(MIN_SHARE, 1.0).ln() / self.step_s
    }
}
