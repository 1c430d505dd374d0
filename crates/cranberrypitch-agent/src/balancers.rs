//! The balancers that receive load reports and carry return datagrams.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

use crate::return_path::BalancerEndpoint;

/// Consecutive reports without an acknowledgement after which a balancer counts as silent and no
/// longer carries return datagrams.
const MAX_UNANSWERED_REPORTS: u32 = 4;

/// A balancer that is listed this long after its goodbye has been started again at the address. An
/// earlier listing may come from another balancer that has not yet received the goodbye.
const REJOIN_DELAY: Duration = Duration::from_secs(5);

/// How long reports are still sent to a silent balancer, so that it is rediscovered after a network
/// partition.
const ENTRY_EXPIRY: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct Entry {
    balancer: BalancerEndpoint,
    unanswered_reports: u32,
    has_acknowledged: bool,
    /// Whether the balancer has acknowledged the announcement of this agent.
    has_announcement: bool,
    goodbye_at: Option<Instant>,
    last_ack_at: Instant,
}

/// The known balancers, keyed by tunnel address.
#[derive(Debug, Default)]
pub(crate) struct BalancerTable {
    entries: FastMap<SocketAddrV4, Entry>,
}

/// A report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DueReport {
    pub(crate) balancer: SocketAddrV4,
    pub(crate) needs_announcement: bool,
}

impl BalancerTable {
    /// Adds a balancer, or updates the entry of a known one.
    pub(crate) fn add(&mut self, balancer: BalancerEndpoint, now: Instant) {
        let entry = self
            .entries
            .entry(balancer.tunnel_address)
            .or_insert_with(|| Entry {
                balancer: balancer.clone(),
                unanswered_reports: 0,
                has_acknowledged: false,
                has_announcement: false,
                goodbye_at: None,
                last_ack_at: now,
            });
        entry.balancer = balancer;
        let may_rejoin =
            |goodbye_at: Instant| now.saturating_duration_since(goodbye_at) >= REJOIN_DELAY;
        if entry.goodbye_at.is_some_and(may_rejoin) {
            entry.goodbye_at = None;
            entry.has_announcement = false;
        }
    }

    /// Records the acknowledgement of a report. `announced` states whether the balancer holds the
    /// announcement of this agent.
    pub(crate) fn record_ack(&mut self, from: SocketAddrV4, announced: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&from) {
            entry.unanswered_reports = 0;
            entry.has_acknowledged = true;
            entry.has_announcement = announced;
            entry.last_ack_at = now;
        }
    }

    /// Records that a balancer is shutting down. The balancer is excluded until it is listed again
    /// after [`REJOIN_DELAY`]. Returns true for a known balancer's first goodbye.
    pub(crate) fn record_goodbye(&mut self, from: SocketAddrV4, now: Instant) -> bool {
        let entry = self.entries.get_mut(&from);
        entry.is_some_and(|entry| entry.goodbye_at.replace(now).is_none())
    }

    /// Returns the balancers that became silent with the last round of reports, with the time since
    /// their last acknowledgement.
    pub(crate) fn newly_silent(&self, now: Instant) -> Vec<(SocketAddrV4, Duration)> {
        let active = self.entries.iter().filter(|(_, e)| e.goodbye_at.is_none());
        let silent = active.filter(|(_, e)| {
            e.has_acknowledged && e.unanswered_reports == MAX_UNANSWERED_REPORTS + 1
        });
        silent
            .map(|(address, e)| (*address, now.saturating_duration_since(e.last_ack_at)))
            .collect()
    }

    /// Returns the reports to send now, and counts each as unanswered until it is acknowledged.
    pub(crate) fn take_due_reports(&mut self, now: Instant) -> Vec<DueReport> {
        self.entries
            .retain(|_, e| now.saturating_duration_since(e.last_ack_at) < ENTRY_EXPIRY);
        let due = self
            .entries
            .values_mut()
            .filter(|e| e.goodbye_at.is_none())
            .map(|entry| {
                entry.unanswered_reports = entry.unanswered_reports.saturating_add(1);
                if entry.unanswered_reports > MAX_UNANSWERED_REPORTS {
                    // A restarted balancer has lost the announcement.
                    entry.has_announcement = false;
                }
                DueReport {
                    balancer: entry.balancer.tunnel_address,
                    needs_announcement: !entry.has_announcement,
                }
            });
        due.collect()
    }

    /// Returns the balancers that carry return datagrams: those that acknowledge reports, or all
    /// that have not sent a goodbye if none acknowledges.
    pub(crate) fn live_balancers(&self) -> Vec<BalancerEndpoint> {
        let active: Vec<_> = self
            .entries
            .values()
            .filter(|e| e.goodbye_at.is_none())
            .collect();
        let is_acknowledging =
            |e: &&Entry| e.has_acknowledged && e.unanswered_reports <= MAX_UNANSWERED_REPORTS;
        let acknowledging: Vec<_> = active.iter().copied().filter(is_acknowledging).collect();
        let live = if acknowledging.is_empty() {
            active
        } else {
            acknowledging
        };
        live.into_iter().map(|e| e.balancer.clone()).collect()
    }
}
