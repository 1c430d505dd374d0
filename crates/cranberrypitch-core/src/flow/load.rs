//! The load of a target as its agent measures it.

use std::time::{Duration, Instant};

use super::service_time::ServiceTimeMeter;
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
    /// The number of recent responses, weighted by their age like the share that failed. The maximum
    /// stands for higher numbers too.
    pub weighted_responses: u8,
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

/// Counts running requests, keeps their moving average, and measures their service time.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    running_requests: u16,
    mean_requests: f64,
    service_time: ServiceTimeMeter,
    updated_at: Instant,
}

impl LoadMeter {
    /// Returns the meter of an idle target.
    pub fn new(slots: Slots, now: Instant) -> Self {
        Self {
            running_requests: 0,
            mean_requests: 0.0,
            service_time: ServiceTimeMeter::new(slots),
            updated_at: now,
        }
    }

    /// Sets the number of requests that the target runs concurrently.
    pub(super) fn set_slots(&mut self, slots: Slots, now: Instant) {
        self.update(now);
        self.service_time.set_slots(slots);
    }

    /// Counts a request that was passed to the target.
    pub fn begin_request(&mut self, now: Instant) {
        self.update(now);
        self.running_requests = self.running_requests.saturating_add(1);
    }

    /// Removes a request that the target responded to.
    pub fn complete_request(&mut self, now: Instant) {
        self.abandon_request(now);
        self.service_time.on_response();
    }

    /// Removes a request that was given up without a response.
    pub fn abandon_request(&mut self, now: Instant) {
        self.update(now);
        self.running_requests = self.running_requests.saturating_sub(1);
    }

    /// Excludes a failed response from the service time. Targets that fail at once would seem fast.
    pub(super) fn on_failed_response(&mut self) {
        self.service_time.remove_response();
    }

    /// Returns the load with the given number of open flows and no failed responses.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range"
    )]
    pub fn load(&mut self, open_flows: usize, now: Instant) -> AgentLoad {
        self.update(now);
        let hundredths = (self.mean_requests * HUNDREDTHS).clamp(0.0, f64::from(u16::MAX));
        AgentLoad {
            running_requests: self.running_requests,
            mean_requests_hundredths: hundredths as u16,
            open_flows: u16::try_from(open_flows).unwrap_or(u16::MAX),
            failed_responses_percent: 0,
            weighted_responses: 0,
            service_time: self.service_time.service_time(),
        }
    }

    /// Adds the time since the last update to the averages.
    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.service_time.on_period(self.running_requests, elapsed);
        let decay = (-elapsed.div_duration_f64(MEAN_TIME_CONSTANT)).exp();
        self.mean_requests = f64::from(self.running_requests)
            + (self.mean_requests - f64::from(self.running_requests)) * decay;
        self.updated_at = self.updated_at.max(now);
    }
}
