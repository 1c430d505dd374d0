//! The balancers as an agent sees them: who is told of its load, and who takes its returns.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

use crate::returns::BalancerEndpoint;

/// Reports in a row that a balancer may leave unanswered before returns avoid it.
const MAX_UNANSWERED: u32 = 4;

/// A list that is this much younger than a goodbye names a later run on the address. Older ones
/// may come from a balancer that has not heard of the goodbye.
const REJOIN_AFTER: Duration = Duration::from_secs(5);

/// How long a silent balancer is still told of the load, so that it is found again after a cut.
const FORGET_AFTER: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct Entry {
    balancer: BalancerEndpoint,
    unanswered: u32,
    has_answered: bool,
    knows_announcement: bool,
    left_at: Option<Instant>,
    acked_at: Instant,
}

/// The balancers that an agent knows.
#[derive(Debug, Default)]
pub(crate) struct BalancerTable {
    entries: FastMap<SocketAddrV4, Entry>,
}

/// A report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DueReport {
    pub(crate) to: SocketAddrV4,
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
                unanswered: 0,
                has_answered: false,
                knows_announcement: false,
                left_at: None,
                acked_at: now,
            });
        entry.balancer = balancer;
        let may_rejoin = |left: Instant| now.saturating_duration_since(left) >= REJOIN_AFTER;
        if entry.left_at.is_some_and(may_rejoin) {
            entry.left_at = None;
            entry.knows_announcement = false;
        }
    }

    /// Notes the answer to a report.
    pub(crate) fn on_ack(&mut self, from: SocketAddrV4, announced: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&from) {
            entry.unanswered = 0;
            entry.has_answered = true;
            entry.knows_announcement = announced;
            entry.acked_at = now;
        }
    }

    /// Notes that a balancer is leaving. It stays out until it is listed again later. Returns
    /// whether it was not known to be leaving.
    pub(crate) fn on_goodbye(&mut self, from: SocketAddrV4, now: Instant) -> bool {
        let entry = self.entries.get_mut(&from);
        entry.is_some_and(|entry| entry.left_at.replace(now).is_none())
    }

    /// Returns the balancers that have become silent since the last reports, with the time since
    /// their last answer.
    pub(crate) fn newly_silent(&self, now: Instant) -> Vec<(SocketAddrV4, Duration)> {
        let staying = self.entries.iter().filter(|(_, e)| e.left_at.is_none());
        let silent = staying.filter(|(_, e)| e.has_answered && e.unanswered == MAX_UNANSWERED + 1);
        silent
            .map(|(address, e)| (*address, now.saturating_duration_since(e.acked_at)))
            .collect()
    }

    /// Returns the reports to send now, and counts them as unanswered until their answer comes.
    pub(crate) fn take_due_reports(&mut self, now: Instant) -> Vec<DueReport> {
        self.entries
            .retain(|_, e| now.saturating_duration_since(e.acked_at) < FORGET_AFTER);
        let due = self
            .entries
            .values_mut()
            .filter(|e| e.left_at.is_none())
            .map(|entry| {
                entry.unanswered = entry.unanswered.saturating_add(1);
                if entry.unanswered > MAX_UNANSWERED {
                    // It may have been replaced by a process that knows nothing of this agent.
                    entry.knows_announcement = false;
                }
                DueReport {
                    to: entry.balancer.tunnel_address,
                    needs_announcement: !entry.knows_announcement,
                }
            });
        due.collect()
    }

    /// Returns the balancers that take returns: those that answer, or all that are not leaving
    /// when none does.
    pub(crate) fn live(&self) -> Vec<BalancerEndpoint> {
        let staying: Vec<_> = self
            .entries
            .values()
            .filter(|e| e.left_at.is_none())
            .collect();
        let answers = |e: &&Entry| e.has_answered && e.unanswered <= MAX_UNANSWERED;
        let answering: Vec<_> = staying.iter().copied().filter(answers).collect();
        let live = if answering.is_empty() {
            staying
        } else {
            answering
        };
        live.into_iter().map(|e| e.balancer.clone()).collect()
    }
}
