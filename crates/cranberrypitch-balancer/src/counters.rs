//! Counters of the traffic path, shared with the control thread.

use std::sync::atomic::{AtomicU64, Ordering};

use cranberrypitch_net::events::DropReason;

/// What the traffic path has done since its start.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    forwarded: AtomicU64,
    placed: AtomicU64,
    passed_on: AtomicU64,
    returned: AtomicU64,
    reports: AtomicU64,
    dropped: [AtomicU64; DropReason::ALL.len()],
}

impl TrafficCounters {
    pub(crate) fn count_forwarded(&self) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_placed(&self) {
        self.placed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_passed_on(&self) {
        self.passed_on.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_returned(&self) {
        self.returned.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_report(&self) {
        self.reports.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_dropped(&self, reason: DropReason) {
        self.dropped[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the datagrams of established flows that were forwarded.
    pub fn forwarded(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Returns the first packets that were placed on a target.
    pub fn placed(&self) -> u64 {
        self.placed.load(Ordering::Relaxed)
    }

    /// Returns the first packets that were passed to a balancer of the service's subset.
    pub fn passed_on(&self) -> u64 {
        self.passed_on.load(Ordering::Relaxed)
    }

    /// Returns the datagrams that were sent back to callers.
    pub fn returned(&self) -> u64 {
        self.returned.load(Ordering::Relaxed)
    }

    /// Returns the load reports that agents sent here.
    pub fn reports(&self) -> u64 {
        self.reports.load(Ordering::Relaxed)
    }

    /// Returns the dropped datagrams by reason, without the reasons that never occurred.
    pub fn dropped(&self) -> Vec<(DropReason, u64)> {
        let counts = self.dropped.iter().map(|c| c.load(Ordering::Relaxed));
        DropReason::ALL
            .into_iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
