//! Counters and time-weighted means of a simulation run.

use std::time::{Duration, Instant};

use super::report::PlacementFigures;

/// A count that is integrated over time, for its mean over a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gauge {
    count: u32,
    updated_at: Instant,
    /// In seconds times the unit of the count.
    integral: f64,
}

impl Gauge {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            count: 0,
            updated_at: now,
            integral: 0.0,
        }
    }

    pub(crate) fn set(&mut self, count: u32, now: Instant) {
        self.integral += f64::from(self.count) * (now - self.updated_at).as_secs_f64();
        self.count = count;
        self.updated_at = now;
    }

    /// Returns the integral since the last call, in seconds times the unit of the count.
    pub(crate) fn take_integral(&mut self, now: Instant) -> f64 {
        self.set(self.count, now);
        std::mem::take(&mut self.integral)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Statistics {
    waits: Vec<(usize, Duration)>,
    request_ratios: Vec<f64>,
    flow_ratios: Vec<f64>,
    pub(crate) arrivals: Vec<u32>,
    pub(crate) broken_flows: u32,
    pub(crate) refusals: u32,
    pub(crate) placed_flows: u32,
    pub(crate) local_placements: u32,
    pub(crate) redirects: u32,
    pub(crate) late_redirects: u32,
    pub(crate) peer_messages: u64,
}

impl Statistics {
    pub(crate) fn new(organisations: u32) -> Self {
        Self {
            arrivals: vec![0; organisations as usize],
            ..Self::default()
        }
    }

    pub(crate) fn record_wait(&mut self, organisation: usize, wait: Duration) {
        self.waits.push((organisation, wait));
    }

    pub(crate) fn record_window(&mut self, requests: &[f64], flows: &[f64]) {
        self.request_ratios.extend(max_over_mean(requests));
        self.flow_ratios.extend(max_over_mean(flows));
    }

    pub(crate) fn figures(
        &self,
        policy: &str,
        uses_handoff: bool,
        agent_seconds: f64,
    ) -> PlacementFigures {
        let mut waits_s: Vec<f64> = self.waits.iter().map(|(_, w)| w.as_secs_f64()).collect();
        waits_s.sort_unstable_by(f64::total_cmp);
        let (mut started, mut total_waits_s) = (
            vec![0.0; self.arrivals.len()],
            vec![0.0; self.arrivals.len()],
        );
        for (organisation, wait) in &self.waits {
            started[*organisation] += 1.0;
            total_waits_s[*organisation] += wait.as_secs_f64();
        }
        let arrivals = self.arrivals.iter().map(|count| f64::from(*count));
        let served_fractions: Vec<f64> = started
            .iter()
            .zip(arrivals)
            .map(|(s, a)| s / a.max(1.0))
            .collect();
        let mean_waits_s: Vec<f64> = total_waits_s
            .iter()
            .zip(&started)
            .map(|(w, s)| w / s.max(1.0))
            .collect();
        PlacementFigures {
            policy: policy.into(),
            uses_handoff,
            wait_mean_s: round_to_4_decimals(mean(&waits_s)),
            wait_p99_s: round_to_4_decimals(quantile(&waits_s, 0.99)),
            requests_max_over_mean: round_to_4_decimals(mean(&self.request_ratios)),
            flows_max_over_mean: round_to_4_decimals(mean(&self.flow_ratios)),
            jain_served: round_to_4_decimals(jain_index(&served_fractions)),
            jain_wait: round_to_4_decimals(jain_index(&mean_waits_s)),
            local_share: round_to_4_decimals(
                f64::from(self.local_placements) / f64::from(self.placed_flows.max(1)),
            ),
            broken_flows: self.broken_flows,
            refusals: self.refusals,
            started: waits_s.len(),
            redirects: self.redirects,
            late_redirects: self.late_redirects,
            peer_messages_per_agent_second: round_to_4_decimals(
                to_f64(self.peer_messages) / agent_seconds,
            ),
        }
    }
}

fn max_over_mean(values: &[f64]) -> Option<f64> {
    let max = values.iter().copied().fold(0.0, f64::max);
    let mean = mean(values);
    (mean > 0.0).then(|| max / mean)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / to_f64(values.len().max(1) as u64)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rank is between 0 and the number of values"
)]
fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let rank = (to_f64(sorted.len() as u64) * quantile).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Returns Jain's fairness index, which is 1 when all values are equal.
fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (to_f64(values.len() as u64) * squares)
}

fn round_to_4_decimals(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
