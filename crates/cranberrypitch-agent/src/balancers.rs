//! The balancers as an agent sees them: who is told of its load, and who takes its returns.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

use crate::returns::BalancerEndpoint;

/// Reports in a row that a balancer may leave unanswered before returns avoid it.
const MAX_UNANSWERED_REPORTS: u32 = 4;

/// A list that is this much younger than a goodbye names a later run on the address. Older ones
/// may come from a balancer that has not heard of the goodbye.
const REJOIN_DELAY: Duration = Duration::from_secs(5);

/// How long a silent balancer is still told of the load, so that it is found again after a cut.
const ENTRY_EXPIRY: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct Entry {
    balancer: BalancerEndpoint,
    unanswered_reports: u32,
    has_answered: bool,
    has_announcement: bool,
    goodbye_at: Option<Instant>,
    last_ack_at: Instant,
}

/// The balancers that an agent knows.
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
    /// Adds a balancer that is not known yet.
    pub(crate) fn add(&mut self, balancer: BalancerEndpoint, now: Instant) {
        let entry = self
            .entries
            .entry(balancer.tunnel_address)
            .or_insert_with(|| Entry {
                balancer: balancer.clone(),
                unanswered_reports: 0,
                has_answered: false,
                has_announcement: false,
                goodbye_at: None,
                last_ack_at: now,
            });
        entry.balancer = balancer;
        let may_rejoin = |left: Instant| now.saturating_duration_since(left) >= REJOIN_DELAY;
        if entry.goodbye_at.is_some_and(may_rejoin) {
            entry.goodbye_at = None;
            entry.has_announcement = false;
        }
    }

    /// Notes the answer to a report.
    pub(crate) fn record_ack(&mut self, from: SocketAddrV4, announced: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&from) {
            entry.unanswered_reports = 0;
            entry.has_answered = true;
            entry.has_announcement = announced;
            entry.last_ack_at = now;
        }
    }

    /// Notes that a balancer is leaving. It stays out until it is listed again later. Returns
    /// whether it was not known to be leaving.
    pub(crate) fn record_goodbye(&mut self, from: SocketAddrV4, now: Instant) -> bool {
        let entry = self.entries.get_mut(&from);
        entry.is_some_and(|entry| entry.goodbye_at.replace(now).is_none())
    }

    /// Returns the balancers that have become silent since the last reports, with the time since
    /// their last answer.
    pub(crate) fn newly_silent(&self, now: Instant) -> Vec<(SocketAddrV4, Duration)> {
        let staying = self.entries.iter().filter(|(_, e)| e.goodbye_at.is_none());
        let silent = staying
            .filter(|(_, e)| e.has_answered && e.unanswered_reports == MAX_UNANSWERED_REPORTS + 1);
        silent
            .map(|(address, e)| (*address, now.saturating_duration_since(e.last_ack_at)))
            .collect()
    }

    /// Returns the reports to send now, and counts them as unanswered until their answer comes.
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
                    // It may have been replaced by a process that knows nothing of this agent.
                    entry.has_announcement = false;
                }
                DueReport {
                    balancer: entry.balancer.tunnel_address,
                    needs_announcement: !entry.has_announcement,
                }
            });
        due.collect()
    }

    /// Returns the balancers that take returns: those that answer, or all that are not leaving
    /// when none does.
    pub(crate) fn live_balancers(&self) -> Vec<BalancerEndpoint> {
        let staying: Vec<_> = self
            .entries
            .values()
            .filter(|e| e.goodbye_at.is_none())
            .collect();
        let answers = |e: &&Entry| e.has_answered && e.unanswered_reports <= MAX_UNANSWERED_REPORTS;
        let answering: Vec<_> = staying.iter().copied().filter(answers).collect();
        let live = if answering.is_empty() {
            staying
        } else {
            answering
        };
        live.into_iter().map(|e| e.balancer.clone()).collect()
    }
}
