//! The weights of smooth weighted round robin.
//!
//! The load of a target is predicted as the mean of all targets, plus what is left of its reported
//! difference from the mean, plus own picks beyond those that every target got in the same time.

use std::time::{Duration, Instant};

use super::candidate::Tracked;

/// The share of the slots that a target without predicted free slots counts for.
const MIN_FREE: f64 = 0.02;

/// When all slots are taken, loads up to this far above the mean, in requests per slot, are told
/// apart.
const OVERLOAD_MARGIN: f64 = 0.2;

/// The most by which open connections raise or lower a weight. It keeps a target with few
/// connections, such as a cold one, from drawing most new flows.
const CONNECTIONS_FACTOR: f64 = 1.2;

/// The factor for a local target that is no busier than the mean and has no more connections.
const LOCAL_FACTOR: f64 = 2.0;

/// Corrects the fitted decay: placement itself evens out differences, so they would last longer
/// without it.
const DECAY_FACTOR: f64 = 0.6;

/// Credit beyond this many flows is dropped, so that a change of weights takes effect soon.
const CREDIT_MAX: f64 = 2.0;

/// What the weights depend on beside the targets.
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

/// Gives each eligible target its share of one flow as credit.
pub(crate) fn add_credit(targets: &mut [Tracked], eligible: &[usize], prediction: &Prediction) {
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
    /// Returns the age of what the last report says, in seconds.
    fn age_s(&self, target: &Tracked) -> f64 {
        let reported_at = target.candidate.reported_at;
        (self.now.saturating_duration_since(reported_at) + self.report_lag).as_secs_f64()
    }
}

impl Totals {
    fn add(&mut self, target: &Tracked) {
        let slots = f64::from(target.slots());
        self.slots += slots;
        self.requests += f64::from(target.reported_requests());
        self.connections += f64::from(target.connections() + 1);
    }

    fn weight(&self, target: &Tracked, prediction: &Prediction) -> f64 {
        let slots = f64::from(target.slots());
        let mean_load = self.requests / self.slots;
        let load = self.predicted_load(target, prediction);
        let full = (mean_load + OVERLOAD_MARGIN).max(1.0);
        let free = slots * (full - load).max(MIN_FREE);
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
            * connections_share.clamp(CONNECTIONS_FACTOR.recip(), CONNECTIONS_FACTOR)
    }

    /// Returns the requests per slot that are expected now.
    fn predicted_load(&self, target: &Tracked, prediction: &Prediction) -> f64 {
        let slots = f64::from(target.slots());
        let age_s = prediction.age_s(target);
        let mean_load = self.requests / self.slots;
        let left = (DECAY_FACTOR * prediction.decay_per_second * age_s).exp();
        let usual_picks = age_s * prediction.picks_per_second / self.slots;
        let extra_picks = f64::from(target.own_picks()) / slots - usual_picks;
        // Own picks are half as old as the report on average.
        mean_load + left * (target.reported_load() - mean_load) + left.sqrt() * extra_picks
    }
}
