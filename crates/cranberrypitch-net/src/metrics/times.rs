//! Request times, logged once per interval.

use std::time::{Duration, Instant};

use cranberrypitch_core::{OrganisationId, RequestClass};

use crate::events::Event;
use crate::metrics::{Metrics, RequestHistograms, RequestTimesSnapshot, Timer};

/// Records request times as metrics and in histograms, which are logged and reset once per interval.
#[derive(Debug)]
pub struct RequestTimesLog {
    metrics: Metrics,
    max_organisations: usize,
    interval: Duration,
    interval_start: Instant,
    histograms: RequestHistograms,
}

impl RequestTimesLog {
    /// Returns a log with a row for each of up to `max_organisations` organisations.
    pub fn new(
        metrics: Metrics,
        max_organisations: usize,
        interval: Duration,
        now: Instant,
    ) -> Self {
        Self {
            metrics,
            max_organisations,
            interval,
            interval_start: now,
            histograms: RequestHistograms::new(max_organisations),
        }
    }

    /// Records the time from the arrival of a request to its start.
    pub fn record_wait(
        &mut self,
        organisation: &OrganisationId,
        class: RequestClass,
        wait: Duration,
    ) {
        self.histograms.record_wait(organisation, class, wait);
        self.metrics.time_request(Timer::RequestWait, class, wait);
    }

    /// Records the time from the start of a request to its end.
    pub fn record_service(
        &mut self,
        organisation: &OrganisationId,
        class: RequestClass,
        service: Duration,
    ) {
        self.histograms.record_service(organisation, class, service);
        self.metrics
            .time_request(Timer::RequestService, class, service);
    }

    /// Returns the percentiles of the current interval.
    pub fn snapshot(&self) -> RequestTimesSnapshot {
        self.histograms.snapshot()
    }

    /// Ends the interval if it is over, and returns the event with its percentiles, unless there were no
    /// requests.
    pub fn due(&mut self, now: Instant) -> Option<Event> {
        if now.saturating_duration_since(self.interval_start) < self.interval {
            return None;
        }
        self.interval_start = now;
        let empty = RequestHistograms::new(self.max_organisations);
        let snapshot = std::mem::replace(&mut self.histograms, empty).snapshot();
        if snapshot.rows.is_empty() {
            return None;
        }
        let json = serde_json::to_string(&snapshot).ok()?.into();
        Some(Event::RequestTimes { json })
    }
}
