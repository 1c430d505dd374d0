//! The weights of smooth weighted round robin.
//!
//! The predicted load of a target is the sum of the mean load of all targets, the remaining part of
//! the target's reported difference from the mean, and the own picks of the target beyond the mean
//! number of own picks per target in the same time.

use std::time::{Duration, Instant};

use super::candidate::TrackedTarget;

/// The minimum share of free slots, used for a target without predicted free slots.
const MIN_FREE_SHARE: f64 = 0.02;

/// When all slots are in use, loads up to this many requests per slot above the mean still get
/// different weights.
const OVERLOAD_MARGIN: f64 = 0.2;

/// The maximum factor by which open connections raise or lower a weight. It prevents a target with
/// few connections, such as one in its cold start, from receiving most of the new flows.
const CONNECTIONS_FACTOR_MAX: f64 = 1.2;

/// The factor for a local target whose load and number of connections per slot are at most the
/// mean.
const LOCAL_FACTOR: f64 = 2.0;

/// Corrects the fitted decay. Placement evens out differences itself, so they would persist longer
/// without it.
const DECAY_FACTOR: f64 = 0.6;

/// The maximum credit, in flows. It lets a change of weights take effect soon.
const CREDIT_MAX: f64 = 2.0;

/// The inputs of the prediction that are the same for all targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    pub(crate) now: Instant,
    pub(crate) report_lag: Duration,
    pub(crate) picks_per_second: f64,
    pub(crate) decay_per_second: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    slots: f64,
    requests: f64,
    connections: f64,
}

/// Adds to the credit of each eligible target its share of one flow.
pub(crate) fn add_credit(
    targets: &mut [TrackedTarget],
    eligible: &[usize],
    prediction: &Prediction,
) {
    let mut totals = Totals::default();
    for &index in eligible {
        totals.add(&targets[index]);
    }
    let weight = |index: &usize| totals.weight(&targets[*index], prediction);
    let weights: Vec<f64> = eligible.iter().map(weight).collect();
    let sum: f64 = weights.iter().sum();
    for (&index, weight) in eligible.iter().zip(weights) {
        let credit = targets[index].credit + weight / sum;
        targets[index].credit = credit.clamp(-CREDIT_MAX, CREDIT_MAX);
    }
}

impl Prediction {
    /// Returns the age of the reported load in seconds.
    fn age_s(&self, target: &TrackedTarget) -> f64 {
        let reported_at = target.candidate.reported_at;
        (self.now.saturating_duration_since(reported_at) + self.report_lag).as_secs_f64()
    }
}

impl Totals {
    fn add(&mut self, target: &TrackedTarget) {
        let slots = f64::from(target.slots());
        self.slots += slots;
        self.requests += f64::from(target.reported_requests());
        self.connections += f64::from(target.connections() + 1);
    }

    fn weight(&self, target: &TrackedTarget, prediction: &Prediction) -> f64 {
        let slots = f64::from(target.slots());
        let mean_load = self.requests / self.slots;
        let load = self.predicted_load(target, prediction);
        let full = (mean_load + OVERLOAD_MARGIN).max(1.0);
        let free = slots * (full - load).max(MIN_FREE_SHARE);
        let connections = f64::from(target.connections() + 1) / slots;
        let connections_share = self.connections / self.slots / connections;
        let is_light = load <= mean_load && connections_share >= 1.0;
        let local_factor = if target.candidate.is_local && is_light {
            LOCAL_FACTOR
        } else {
            1.0
        };
        local_factor
            * free
            * connections_share.clamp(CONNECTIONS_FACTOR_MAX.recip(), CONNECTIONS_FACTOR_MAX)
    }

    /// Returns the predicted requests per slot at the time of the placement.
    fn predicted_load(&self, target: &TrackedTarget, prediction: &Prediction) -> f64 {
        let slots = f64::from(target.slots());
        let age_s = prediction.age_s(target);
        let mean_load = self.requests / self.slots;
        let remaining_share = (DECAY_FACTOR * prediction.decay_per_second * age_s).exp();
        let usual_picks = age_s * prediction.picks_per_second / self.slots;
        let extra_picks = f64::from(target.own_pick_count()) / slots - usual_picks;
        // On average, own picks are half as old as the report, so less of them has decayed.
        mean_load
            + remaining_share * (target.reported_load() - mean_load)
            + remaining_share.sqrt() * extra_picks
    }
}
