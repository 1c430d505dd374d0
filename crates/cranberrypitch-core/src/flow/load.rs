//! The load of a target as its agent measures it.

use std::time::{Duration, Instant};

use crate::units::Slots;

/// The time constant of the moving average of running requests.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Hundredths in a whole, the unit of means and ratios in messages.
const HUNDREDTHS: f64 = 100.0;

/// The load of a target, as an agent reports it to balancers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentLoad {
    /// The number of requests that the target has not responded to, including those on their way to
    /// it and those that wait at the agent.
    pub running_requests: u16,
    /// The moving average of the requests that the target has not responded to, over about a second,
    /// in hundredths of a request.
    pub mean_requests_hundredths: u16,
    /// The number of flows that are open or being opened.
    pub open_flows: u16,
    /// The share of the target's recent responses that failed, in percent.
    pub failed_responses_percent: u8,
    /// The mean time for which a request occupies a slot; zero if it is not known.
    pub service_time: Duration,
}

impl AgentLoad {
    /// Returns the share of the target's recent responses that failed, from 0 to 1.
    pub fn failure_ratio(&self) -> f64 {
        f64::from(self.failed_responses_percent) / HUNDREDTHS
    }

    /// Returns whether the target runs at least `slots` more requests than a balancer expects, so that
    /// a new request would wait for a request that the balancer has not counted.
    pub fn is_busier_than(&self, expected_requests: u16, slots: Slots) -> bool {
        let running_requests = u32::from(self.running_requests);
        running_requests
            >= slots
                .get()
                .max(1)
                .saturating_add(u32::from(expected_requests))
    }

    /// Returns the moving average of running requests, in requests.
    pub fn mean_requests(&self) -> f64 {
        f64::from(self.mean_requests_hundredths) / HUNDREDTHS
    }
}

/// Counts running requests and keeps their moving average.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    running_requests: u16,
    mean_requests: f64,
    updated_at: Instant,
}

impl LoadMeter {
    /// Returns the meter of an idle target.
    pub const fn new(now: Instant) -> Self {
        Self {
            running_requests: 0,
            mean_requests: 0.0,
            updated_at: now,
        }
    }

    /// Counts a request that was passed to the target.
    pub fn begin_request(&mut self, now: Instant) {
        self.update_mean(now);
        self.running_requests = self.running_requests.saturating_add(1);
    }

    /// Removes a request that the target responded to or that was given up.
    pub fn end_request(&mut self, now: Instant) {
        self.update_mean(now);
        self.running_requests = self.running_requests.saturating_sub(1);
    }

    /// Returns the load with the given number of open flows and no failed responses.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range"
    )]
    pub fn load(&mut self, open_flows: usize, now: Instant) -> AgentLoad {
        self.update_mean(now);
        let hundredths = (self.mean_requests * HUNDREDTHS).clamp(0.0, f64::from(u16::MAX));
        AgentLoad {
            running_requests: self.running_requests,
            mean_requests_hundredths: hundredths as u16,
            open_flows: u16::try_from(open_flows).unwrap_or(u16::MAX),
            failed_responses_percent: 0,
            service_time: Duration::ZERO,
        }
    }

    /// Moves the exponential average towards the number of requests since the last update.
    fn update_mean(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let decay = (-elapsed.div_duration_f64(MEAN_TIME_CONSTANT)).exp();
        self.mean_requests = f64::from(self.running_requests)
            + (self.mean_requests - f64::from(self.running_requests)) * decay;
        self.updated_at = self.updated_at.max(now);
    }
}
