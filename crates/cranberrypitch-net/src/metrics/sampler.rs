//! Counters of traffic threads, sampled on the control thread.

use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

use crate::events::{DropLog, DropReason, Event};
use crate::metrics::{Counter, Metrics};

/// The time between two log lines about datagrams dropped for the same reason.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Turns totals since the start into metrics and events.
#[derive(Debug)]
pub struct Sampler {
    metrics: Metrics,
    totals: FastMap<Counter, u64>,
    dropped: [u64; DropReason::ALL.len()],
    log: DropLog,
}

impl Sampler {
    /// Returns a sampler for totals that start at zero.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            totals: FastMap::default(),
            dropped: [0; DropReason::ALL.len()],
            log: DropLog::new(DROP_LOG_INTERVAL),
        }
    }

    /// Returns the metrics.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Sends what a total has grown by since its last sample.
    pub fn count(&mut self, counter: Counter, total: u64) {
        let last = self.totals.insert(counter, total).unwrap_or_default();
        let grown = total.saturating_sub(last);
        if grown > 0 {
            self.metrics.count(counter, grown);
        }
    }

    /// Sends what the totals of dropped datagrams have grown by, and returns the events that are
    /// due.
    pub fn count_dropped(
        &mut self,
        totals: impl IntoIterator<Item = (DropReason, u64)>,
        now: Instant,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for (reason, total) in totals {
            let last = std::mem::replace(&mut self.dropped[reason as usize], total);
            let grown = total.saturating_sub(last);
            if grown > 0 {
                self.metrics.count_dropped(reason, grown);
                events.extend(self.log.add(reason, grown, now));
            }
        }
        events.extend(self.log.due(now));
        events
    }
}
