//! Candidates and what a balancer tracks about them.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::ids::{FailureDomain, Incarnation};
use crate::membership::Target;
use crate::target::{TargetLoad, TargetState};
use crate::units::ConnectionLimit;

/// A target that may take new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Where the agent receives tunnel datagrams.
    pub address: SocketAddrV4,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The state of the target.
    pub state: TargetState,
    /// The load at the last report.
    pub load: TargetLoad,
    /// The limit of connections.
    pub connection_limit: ConnectionLimit,
    /// Whether the target is in the balancer's failure domain.
    pub is_local: bool,
    /// When the last report arrived.
    pub reported_at: Instant,
}

impl Candidate {
    /// Returns the candidate for a target, as a balancer in `failure_domain` sees it.
    pub fn new(target: &Target, failure_domain: &FailureDomain) -> Self {
        Self {
            address: target.address,
            incarnation: target.incarnation,
            state: target.state,
            load: target.load,
            connection_limit: target.announcement.connection_limit,
            is_local: target.announcement.failure_domain == *failure_domain,
            reported_at: target.reported_at,
        }
    }
}

/// More own picks than this are not told apart; each takes 16 bytes.
const MAX_PICKS: usize = 4096;

#[derive(Clone, Debug)]
pub(crate) struct Tracked {
    pub(crate) candidate: Candidate,
    pub(crate) answered_at: Option<Instant>,
    pub(crate) suspected_until: Option<Instant>,
    /// The flows that smooth weighted round robin owes the target.
    pub(crate) credit: f64,
    picks: VecDeque<Instant>,
}

impl Tracked {
    pub(crate) fn new(candidate: Candidate) -> Self {
        Self {
            candidate,
            answered_at: None,
            suspected_until: None,
            credit: 0.0,
            picks: VecDeque::new(),
        }
    }

    pub(crate) fn is_same_run(&self, other: &Candidate) -> bool {
        self.candidate.address == other.address && self.candidate.incarnation == other.incarnation
    }

    /// Takes in a newer view and drops the own picks that its report includes.
    pub(crate) fn update(&mut self, candidate: Candidate, report_lag: Duration, now: Instant) {
        self.candidate = candidate;
        let reported_at = candidate.reported_at.min(now);
        while let Some(picked_at) = self.picks.front() {
            if *picked_at + report_lag > reported_at {
                break;
            }
            self.picks.pop_front();
        }
    }

    pub(crate) fn note_pick(&mut self, now: Instant) {
        if self.picks.len() == MAX_PICKS {
            self.picks.pop_front();
        }
        self.picks.push_back(now);
    }

    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    pub(crate) fn takes_flows(&self) -> bool {
        self.candidate.state == TargetState::Ready
            && self.connections() < self.candidate.connection_limit.get()
    }

    /// Returns the requests at the target as reported.
    pub(crate) fn reported_requests(&self) -> u32 {
        let load = self.candidate.load;
        load.running.saturating_add(load.waiting)
    }

    /// Returns the reported requests per slot.
    pub(crate) fn reported_load(&self) -> f64 {
        f64::from(self.reported_requests()) / f64::from(self.slots())
    }

    /// Returns the requests at the target, with the own picks counted as one request each.
    pub(crate) fn requests(&self) -> u32 {
        self.reported_requests().saturating_add(self.own_picks())
    }

    /// Returns the open connections, own picks included.
    pub(crate) fn connections(&self) -> u32 {
        self.candidate
            .load
            .connections
            .saturating_add(self.own_picks())
    }

    /// Returns the slots; a target that reports none counts as having one, so that it is chosen
    /// only after all others.
    pub(crate) fn slots(&self) -> u32 {
        self.candidate.load.slots.get().max(1)
    }

    pub(crate) fn own_picks(&self) -> u32 {
        u32::try_from(self.picks.len()).unwrap_or(u32::MAX)
    }
}
