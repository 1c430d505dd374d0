//! Candidates for new flows, and the state that a balancer keeps for each of them.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::ids::{FailureDomain, Incarnation};
use crate::membership::Target;
use crate::target::{TargetLoad, TargetState};
use crate::units::ConnectionLimit;

/// A target to which new flows may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The address at which the agent receives tunnel datagrams.
    pub address: SocketAddrV4,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The state of the target.
    pub state: TargetState,
    /// The load in the last report.
    pub load: TargetLoad,
    /// The maximum number of connections.
    pub connection_limit: ConnectionLimit,
    /// Whether the target is in the failure domain of the balancer.
    pub is_local: bool,
    /// The arrival time of the last report.
    pub reported_at: Instant,
}

impl Candidate {
    /// Returns the candidate for `target` at a balancer in `failure_domain`.
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

/// The maximum number of own picks kept for a target; each takes 16 bytes.
const MAX_PICKS: usize = 4096;

/// A candidate with the flows and answers that this balancer has seen since its last report.
#[derive(Clone, Debug)]
pub(crate) struct TrackedTarget {
    pub(crate) candidate: Candidate,
    pub(crate) answered_at: Option<Instant>,
    pub(crate) suspected_until: Option<Instant>,
    /// The credit of smooth weighted round robin, in flows.
    pub(crate) credit: f64,
    own_picks: VecDeque<Instant>,
}

impl TrackedTarget {
    pub(crate) fn new(candidate: Candidate) -> Self {
        Self {
            candidate,
            answered_at: None,
            suspected_until: None,
            credit: 0.0,
            own_picks: VecDeque::new(),
        }
    }

    pub(crate) fn is_same_incarnation(&self, other: &Candidate) -> bool {
        self.candidate.address == other.address && self.candidate.incarnation == other.incarnation
    }

    /// Replaces the candidate and drops the own picks that the new report includes.
    pub(crate) fn update(&mut self, candidate: Candidate, report_lag: Duration, now: Instant) {
        self.candidate = candidate;
        let reported_at = candidate.reported_at.min(now);
        while let Some(picked_at) = self.own_picks.front() {
            if *picked_at + report_lag > reported_at {
                break;
            }
            self.own_picks.pop_front();
        }
    }

    pub(crate) fn record_pick(&mut self, now: Instant) {
        if self.own_picks.len() == MAX_PICKS {
            self.own_picks.pop_front();
        }
        self.own_picks.push_back(now);
    }

    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    pub(crate) fn accepts_flows(&self) -> bool {
        self.candidate.state == TargetState::Ready
            && self.connections() < self.candidate.connection_limit.get()
    }

    /// Returns the reported number of running and waiting requests.
    pub(crate) fn reported_requests(&self) -> u32 {
        let load = self.candidate.load;
        load.running.saturating_add(load.waiting)
    }

    /// Returns the reported number of requests per slot.
    pub(crate) fn reported_load(&self) -> f64 {
        f64::from(self.reported_requests()) / f64::from(self.slots())
    }

    /// Returns the reported number of requests plus one for each own pick.
    pub(crate) fn requests(&self) -> u32 {
        self.reported_requests()
            .saturating_add(self.own_pick_count())
    }

    /// Returns the reported number of connections plus one for each own pick.
    pub(crate) fn connections(&self) -> u32 {
        self.candidate
            .load
            .connections
            .saturating_add(self.own_pick_count())
    }

    /// Returns the reported number of slots. A target that reports none counts as having one, so
    /// that it is selected only after all others.
    pub(crate) fn slots(&self) -> u32 {
        self.candidate.load.slots.get().max(1)
    }

    pub(crate) fn own_pick_count(&self) -> u32 {
        u32::try_from(self.own_picks.len()).unwrap_or(u32::MAX)
    }
}
