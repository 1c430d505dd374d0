//! Medians and spreads over the rounds.

use serde::Serialize;

use super::{Condition, End, Options, Thresholds, Upload};
use crate::discrete_event::ratio;

/// Least, median and greatest of a figure over the rounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The least.
    pub min: f64,
    /// The median; the lower one of two.
    pub median: f64,
    /// The greatest.
    pub max: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Self {
        values.sort_unstable_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        let last = values.len().saturating_sub(1);
        Self {
            min: at(0),
            median: at(last / 2),
            max: at(last),
        }
    }
}

/// The figures of one condition and thresholds. Failed uploads are counted and left out of the
/// spreads; those given up count with the time limit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The condition of the path.
    pub condition: Condition,
    /// The thresholds of both ends.
    pub thresholds: Thresholds,
    /// The seconds per upload.
    pub seconds: Spread,
    /// The share of packets counted as lost.
    pub lost_share: Spread,
    /// Uploads given up at the time limit.
    pub given_up: usize,
    /// Uploads refused or cut.
    pub failed: usize,
}

/// The time of an upload with spraying and jitter against one through a single balancer without.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JitterCost {
    /// The thresholds of both ends.
    pub thresholds: Thresholds,
    /// The ratio of the median times.
    pub ratio: f64,
    /// The ratio in each round.
    pub rounds: Spread,
    /// Whether an upload with jitter was given up, so that the ratio is a lower bound.
    pub is_lower_bound: bool,
}

pub(super) fn summaries(options: &Options, uploads: &[Upload]) -> Vec<Summary> {
    let pairs = options
        .conditions
        .iter()
        .flat_map(|c| options.thresholds.iter().map(move |t| (*c, *t)));
    pairs.map(|(c, t)| summary(c, t, uploads)).collect()
}

pub(super) fn jitter_costs(options: &Options, uploads: &[Upload]) -> Vec<JitterCost> {
    let costs = options.thresholds.iter();
    costs.filter_map(|t| jitter_cost(*t, uploads)).collect()
}

fn of(uploads: &[Upload], condition: Condition, thresholds: Thresholds) -> Vec<&Upload> {
    let is_asked = |u: &&Upload| u.condition == condition && u.thresholds == thresholds;
    uploads.iter().filter(is_asked).collect()
}

fn summary(condition: Condition, thresholds: Thresholds, uploads: &[Upload]) -> Summary {
    let asked = of(uploads, condition, thresholds);
    let ended = |end: End| asked.iter().filter(move |u| u.end == end).count();
    let kept = || asked.iter().filter(|u| u.end != End::Failed);
    Summary {
        condition,
        thresholds,
        seconds: Spread::of(kept().map(|u| u.seconds).collect()),
        lost_share: Spread::of(kept().map(|u| u.lost_share()).collect()),
        given_up: ended(End::Limit),
        failed: ended(End::Failed),
    }
}

/// Returns nothing unless both conditions were measured and no upload failed.
fn jitter_cost(thresholds: Thresholds, uploads: &[Upload]) -> Option<JitterCost> {
    let jitter = of(uploads, Condition::SPRAYED_JITTER, thresholds);
    let single = of(uploads, Condition::SINGLE, thresholds);
    let mut all = jitter.iter().chain(&single);
    if jitter.is_empty() || single.is_empty() || all.any(|u| u.end == End::Failed) {
        return None;
    }
    let seconds = |of: &[&Upload]| Spread::of(of.iter().map(|u| u.seconds).collect()).median;
    let rounds = jitter.iter().zip(&single);
    Some(JitterCost {
        thresholds,
        ratio: ratio(seconds(&jitter), seconds(&single)),
        rounds: Spread::of(rounds.map(|(j, s)| ratio(j.seconds, s.seconds)).collect()),
        is_lower_bound: jitter.iter().any(|u| u.end == End::Limit),
    })
}
