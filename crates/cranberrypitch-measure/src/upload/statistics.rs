//! Summary statistics over the rounds.

use serde::Serialize;

use super::{Condition, Options, Thresholds, Upload, UploadResult};
use crate::discrete_event::ratio;

/// The minimum, median and maximum of a quantity over the rounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Range {
    /// The minimum.
    pub min: f64,
    /// The median; for an even number of values the lower one.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Range {
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

/// The results of one network condition and pair of thresholds. Failed uploads are counted but excluded
/// from the ranges; uploads that timed out are included with the timeout.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The network condition.
    pub condition: Condition,
    /// The loss-detection thresholds of both endpoints.
    pub thresholds: Thresholds,
    /// The duration of an upload, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: Range,
    /// The fraction of sent packets that were declared lost.
    #[serde(rename = "lost_share")]
    pub lost_fraction: Range,
    /// The number of uploads that timed out.
    #[serde(rename = "given_up")]
    pub timed_out: usize,
    /// The number of uploads that were refused or interrupted.
    pub failed: usize,
}

/// The relative duration of uploads with spraying and jitter, compared with a single balancer without
/// jitter.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JitterCost {
    /// The loss-detection thresholds of both endpoints.
    pub thresholds: Thresholds,
    /// The ratio of the median durations.
    pub ratio: f64,
    /// The ratio of the durations in each round.
    pub rounds: Range,
    /// Whether an upload with jitter timed out, so that the ratio is a lower bound.
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

fn select(uploads: &[Upload], condition: Condition, thresholds: Thresholds) -> Vec<&Upload> {
    let is_selected = |u: &&Upload| u.condition == condition && u.thresholds == thresholds;
    uploads.iter().filter(is_selected).collect()
}

fn summary(condition: Condition, thresholds: Thresholds, uploads: &[Upload]) -> Summary {
    let selected = select(uploads, condition, thresholds);
    let count = |end: UploadResult| selected.iter().filter(move |u| u.result == end).count();
    let completed = || selected.iter().filter(|u| u.result != UploadResult::Failed);
    Summary {
        condition,
        thresholds,
        duration_s: Range::of(completed().map(|u| u.duration_s).collect()),
        lost_fraction: Range::of(completed().map(|u| u.lost_fraction()).collect()),
        timed_out: count(UploadResult::TimedOut),
        failed: count(UploadResult::Failed),
    }
}

/// Returns `None` unless both conditions were measured and no upload failed.
fn jitter_cost(thresholds: Thresholds, uploads: &[Upload]) -> Option<JitterCost> {
    let jitter = select(uploads, Condition::SPRAYED_JITTER, thresholds);
    let single = select(uploads, Condition::SINGLE, thresholds);
    let mut all = jitter.iter().chain(&single);
    if jitter.is_empty() || single.is_empty() || all.any(|u| u.result == UploadResult::Failed) {
        return None;
    }
    let median_duration_s =
        |of: &[&Upload]| Range::of(of.iter().map(|u| u.duration_s).collect()).median;
    let rounds = jitter.iter().zip(&single);
    Some(JitterCost {
        thresholds,
        ratio: ratio(median_duration_s(&jitter), median_duration_s(&single)),
        rounds: Range::of(
            rounds
                .map(|(j, s)| ratio(j.duration_s, s.duration_s))
                .collect(),
        ),
        is_lower_bound: jitter.iter().any(|u| u.result == UploadResult::TimedOut),
    })
}
