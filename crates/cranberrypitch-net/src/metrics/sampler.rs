//! Sampling of the counters of traffic threads on the control thread.

use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

use crate::events::{DropLog, DropReason, Event};
use crate::metrics::{Counter, Metrics};

/// The shortest interval between two log lines about datagrams dropped for the same reason.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Converts totals since the start into counter increments and log events.
#[derive(Debug)]
pub struct Sampler {
    metrics: Metrics,
    last_totals: FastMap<Counter, u64>,
    last_dropped: [u64; DropReason::ALL.len()],
    drop_log: DropLog,
}

impl Sampler {
    /// Returns a sampler whose last totals are zero.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            last_totals: FastMap::default(),
            last_dropped: [0; DropReason::ALL.len()],
            drop_log: DropLog::new(DROP_LOG_INTERVAL),
        }
    }

    /// Returns the metrics client.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Sends the increase of a counter's total since its last sample.
    pub fn count(&mut self, counter: Counter, total: u64) {
        let last = self.last_totals.insert(counter, total).unwrap_or_default();
        let increase = total.saturating_sub(last);
        if increase > 0 {
            self.metrics.count(counter, increase);
        }
    }

    /// Sends the increases of the totals of dropped datagrams, and returns the log events that are
    /// due.
    pub fn count_dropped(
        &mut self,
        totals: impl IntoIterator<Item = (DropReason, u64)>,
        now: Instant,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for (reason, total) in totals {
            let last = std::mem::replace(&mut self.last_dropped[reason as usize], total);
            let increase = total.saturating_sub(last);
            if increase > 0 {
                self.metrics.count_dropped(reason, increase);
                events.extend(self.drop_log.add(reason, increase, now));
            }
        }
        events.extend(self.drop_log.due(now));
        events
    }
}
