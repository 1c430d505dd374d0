//! The load of a target as its agent counts it.

use std::time::{Duration, Instant};

use crate::units::Slots;

/// The time over which the number of running requests is averaged.
const SMOOTHING: Duration = Duration::from_secs(1);

/// Requests in hundredths, the unit of smoothed counts in messages.
const HUNDREDTHS: f64 = 100.0;

/// The load of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentLoad {
    /// Requests that the target has and has not answered.
    pub running_requests: u16,
    /// The mean of `running` over about a second, in hundredths of a request.
    pub mean_requests_hundredths: u16,
    /// Flows that are open or opening.
    pub open_flows: u16,
    /// The part of the target's latest answers that failed, in hundredths.
    pub failed_responses_percent: u8,
}

impl AgentLoad {
    /// Returns the part of the target's latest answers that failed, from 0 to 1.
    pub fn failure_ratio(&self) -> f64 {
        f64::from(self.failed_responses_percent) / HUNDREDTHS
    }

    /// Returns whether the target runs so many more requests than a balancer expects that one more
    /// waits for a request that the balancer does not know of.
    pub fn is_busier_than(&self, expected: u16, slots: Slots) -> bool {
        let running = u32::from(self.running_requests);
        running >= slots.get().max(1).saturating_add(u32::from(expected))
    }

    /// Returns the mean number of running requests.
    pub fn mean_requests(&self) -> f64 {
        f64::from(self.mean_requests_hundredths) / HUNDREDTHS
    }
}

/// Counts running requests and their mean.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    running: u16,
    smoothed: f64,
    updated_at: Instant,
}

impl LoadMeter {
    /// Returns a meter of an idle target.
    pub const fn new(now: Instant) -> Self {
        Self {
            running: 0,
            smoothed: 0.0,
            updated_at: now,
        }
    }

    /// Notes that a request was passed to the target.
    pub fn begin_request(&mut self, now: Instant) {
        self.settle(now);
        self.running = self.running.saturating_add(1);
    }

    /// Notes that a request was answered or given up.
    pub fn end_request(&mut self, now: Instant) {
        self.settle(now);
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the load with a number of open flows, as if no answer had failed.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range"
    )]
    pub fn load(&mut self, open_flows: usize, now: Instant) -> AgentLoad {
        self.settle(now);
        let hundredths = (self.smoothed * HUNDREDTHS).clamp(0.0, f64::from(u16::MAX));
        AgentLoad {
            running_requests: self.running,
            mean_requests_hundredths: hundredths as u16,
            open_flows: u16::try_from(open_flows).unwrap_or(u16::MAX),
            failed_responses_percent: 0,
        }
    }

    fn settle(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let left = (-elapsed.div_duration_f64(SMOOTHING)).exp();
        self.smoothed = f64::from(self.running) + (self.smoothed - f64::from(self.running)) * left;
        self.updated_at = self.updated_at.max(now);
    }
}
