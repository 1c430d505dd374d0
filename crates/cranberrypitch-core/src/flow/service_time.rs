//! The service time of a target, measured from the requests that pass its agent.

use std::time::Duration;

use crate::units::Slots;

/// The time constant of the moving average, in time during which the target runs requests.
const BUSY_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// The number of weighted responses below which the service time is unknown. The standard error of
/// fewer times that vary by half of their mean exceeds the dead band of the selection.
const MIN_RESPONSES: f64 = 8.0;

/// Measures the time in slots per response. Idle time does not age the average, so a target keeps its
/// measured speed until it runs requests again.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTimeMeter {
    slots: u32,
    /// The time for which slots were in use, with exponential decay.
    slot_time_s: f64,
    /// The number of responses, with exponential decay.
    responses: f64,
}

impl ServiceTimeMeter {
    pub(super) fn new(slots: Slots) -> Self {
        Self {
            slots: slots.get().max(1),
            slot_time_s: 0.0,
            responses: 0.0,
        }
    }

    /// Sets the number of requests that the target runs concurrently.
    pub(super) fn set_slots(&mut self, slots: Slots) {
        self.slots = slots.get().max(1);
    }

    /// Adds a period during which the target ran a constant number of requests.
    pub(super) fn on_period(&mut self, running_requests: u16, elapsed: Duration) {
        if running_requests == 0 {
            return;
        }
        let decay = (-elapsed.div_duration_f64(BUSY_TIME_CONSTANT)).exp();
        let used_slots = f64::from(u32::from(running_requests).min(self.slots));
        // The integral of the used slots, each moment with its decay until the end of the period.
        let added_s = used_slots * BUSY_TIME_CONSTANT.as_secs_f64() * (1.0 - decay);
        self.slot_time_s = self.slot_time_s * decay + added_s;
        self.responses *= decay;
    }

    /// Counts a response.
    pub(super) fn on_response(&mut self) {
        self.responses += 1.0;
    }

    /// Removes a counted response that turned out to be a failure.
    pub(super) fn remove_response(&mut self) {
        self.responses = (self.responses - 1.0).max(0.0);
    }

    /// Returns the service time, or zero if it is not known.
    pub(super) fn service_time(&self) -> Duration {
        if self.responses < MIN_RESPONSES {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(self.slot_time_s / self.responses).unwrap_or(Duration::ZERO)
    }
}
