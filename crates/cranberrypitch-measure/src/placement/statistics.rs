//! What a run adds up.

use std::time::{Duration, Instant};

use super::report::Row;

/// A count whose mean over a window is wanted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gauge {
    count: u32,
    since: Instant,
    integral: f64,
}

impl Gauge {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            count: 0,
            since: now,
            integral: 0.0,
        }
    }

    pub(crate) fn set(&mut self, count: u32, now: Instant) {
        self.integral += f64::from(self.count) * (now - self.since).as_secs_f64();
        self.count = count;
        self.since = now;
    }

    /// Returns the integral since the last call.
    pub(crate) fn take(&mut self, now: Instant) -> f64 {
        self.set(self.count, now);
        std::mem::take(&mut self.integral)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Statistics {
    waits: Vec<(usize, Duration)>,
    request_ratios: Vec<f64>,
    flow_ratios: Vec<f64>,
    pub(crate) asked: Vec<u32>,
    pub(crate) broken_flows: u32,
    pub(crate) refusals: u32,
    pub(crate) placed: u32,
    pub(crate) placed_local: u32,
    pub(crate) redirects: u32,
    pub(crate) late_redirects: u32,
    pub(crate) peer_messages: u64,
}

impl Statistics {
    pub(crate) fn new(organisations: u32) -> Self {
        Self {
            asked: vec![0; organisations as usize],
            ..Self::default()
        }
    }

    pub(crate) fn add_wait(&mut self, organisation: usize, wait: Duration) {
        self.waits.push((organisation, wait));
    }

    pub(crate) fn add_window(&mut self, requests: &[f64], flows: &[f64]) {
        self.request_ratios.extend(max_by_mean(requests));
        self.flow_ratios.extend(max_by_mean(flows));
    }

    pub(crate) fn row(&self, policy: &str, uses_handoff: bool, agent_seconds: f64) -> Row {
        let mut waits: Vec<f64> = self.waits.iter().map(|(_, w)| w.as_secs_f64()).collect();
        waits.sort_unstable_by(f64::total_cmp);
        let (mut started, mut waited) = (vec![0.0; self.asked.len()], vec![0.0; self.asked.len()]);
        for (organisation, wait) in &self.waits {
            started[*organisation] += 1.0;
            waited[*organisation] += wait.as_secs_f64();
        }
        let asked = self.asked.iter().map(|asked| f64::from(*asked));
        let served: Vec<f64> = started
            .iter()
            .zip(asked)
            .map(|(s, a)| s / a.max(1.0))
            .collect();
        let mean_waits: Vec<f64> = waited
            .iter()
            .zip(&started)
            .map(|(w, s)| w / s.max(1.0))
            .collect();
        Row {
            policy: policy.into(),
            handoff: uses_handoff,
            wait_mean_s: rounded(mean(&waits)),
            wait_p99_s: rounded(quantile(&waits, 0.99)),
            requests_max_by_mean: rounded(mean(&self.request_ratios)),
            flows_max_by_mean: rounded(mean(&self.flow_ratios)),
            jain_served: rounded(jain(&served)),
            jain_wait: rounded(jain(&mean_waits)),
            local_share: rounded(f64::from(self.placed_local) / f64::from(self.placed.max(1))),
            broken_flows: self.broken_flows,
            refusals: self.refusals,
            started: waits.len(),
            redirects: self.redirects,
            late_redirects: self.late_redirects,
            peer_messages_per_agent_second: rounded(to_f64(self.peer_messages) / agent_seconds),
        }
    }
}

fn max_by_mean(values: &[f64]) -> Option<f64> {
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

/// Returns Jain's index, which is 1 when all values are equal.
fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (to_f64(values.len() as u64) * squares)
}

fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
