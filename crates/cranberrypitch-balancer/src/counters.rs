//! Counters of the traffic thread, which the control thread reads.

use std::sync::atomic::{AtomicU64, Ordering};

use cranberrypitch_net::events::DropReason;

/// The counters of the traffic thread since its start.
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

    /// Returns the number of forwarded datagrams of established flows.
    pub fn forwarded(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Returns the number of first packets that were placed on a target.
    pub fn placed(&self) -> u64 {
        self.placed.load(Ordering::Relaxed)
    }

    /// Returns the number of first packets that were passed to another balancer.
    pub fn passed_on(&self) -> u64 {
        self.passed_on.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams that were returned to callers.
    pub fn returned(&self) -> u64 {
        self.returned.load(Ordering::Relaxed)
    }

    /// Returns the number of load reports received from agents.
    pub fn reports(&self) -> u64 {
        self.reports.load(Ordering::Relaxed)
    }

    /// Returns the number of dropped datagrams by reason, without reasons that have not occurred.
    pub fn dropped(&self) -> Vec<(DropReason, u64)> {
        let counts = self.dropped.iter().map(|c| c.load(Ordering::Relaxed));
        DropReason::ALL
            .into_iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
