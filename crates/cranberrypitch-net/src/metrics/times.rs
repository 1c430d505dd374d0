//! Times of requests, logged once per interval.

use std::time::{Duration, Instant};

use cranberrypitch_core::{OrganisationId, RequestClass};

use crate::events::Event;
use crate::metrics::{Histograms, Metrics, Snapshot, Timer};

/// Records the times of requests as metrics, and in histograms that are logged once per interval
/// and begin anew then.
#[derive(Debug)]
pub struct TimesLog {
    metrics: Metrics,
    max_organisations: usize,
    interval: Duration,
    since: Instant,
    histograms: Histograms,
}

impl TimesLog {
    /// Returns a log with room for a number of organisations.
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
            since: now,
            histograms: Histograms::new(max_organisations),
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

    /// Returns the times since the last event.
    pub fn snapshot(&self) -> Snapshot {
        self.histograms.snapshot()
    }

    /// Returns the event with the times of the last interval, once per interval with requests.
    pub fn due(&mut self, now: Instant) -> Option<Event> {
        if now.saturating_duration_since(self.since) < self.interval {
            return None;
        }
        self.since = now;
        let empty = Histograms::new(self.max_organisations);
        let snapshot = std::mem::replace(&mut self.histograms, empty).snapshot();
        if snapshot.rows.is_empty() {
            return None;
        }
        let json = serde_json::to_string(&snapshot).ok()?.into();
        Some(Event::RequestTimes { json })
    }
}
