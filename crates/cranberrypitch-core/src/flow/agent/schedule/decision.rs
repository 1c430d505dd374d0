//! Which waiting request a target gets next, and which ones are given up.
//!
//! The load that this answers is more requests than the target can serve within their objectives. Then a
//! FIFO queue makes nearly all of them late. The choice is made by these criteria, in this order: requests
//! that can still be answered within their objective, weighted fair turns of the priorities, the caller with
//! the fewest requests in the last second, the newest request.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::MAX_REQUESTS_PER_SLOT;
use super::turns::FairTurns;
use crate::flow::routes::RequestLimits;

/// What a waiting request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// To open a flow, for its first request.
    Syn,
    /// To run a request of an open flow.
    OpenFlow,
}

/// A request that waits at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// What the request asks for.
    pub kind: RequestKind,
    /// The operator's priority; 0 is the highest.
    pub priority: u8,
    /// The time limits; times of zero are not known.
    pub limits: RequestLimits,
    /// The address of the caller.
    pub caller: Ipv4Addr,
    /// The time at which the request arrived at the agent.
    pub arrived_at: Instant,
}

/// How fast a target serves requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetCapacity {
    /// The mean time for which a request occupies a slot; zero if it is not known.
    pub service_time: Duration,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The lower bound of the maximum wait of a SYN.
    pub min_syn_wait: Duration,
    /// The limit on the wait of all SYNs, if there is one.
    pub syn_wait_limit: Option<Duration>,
    /// Whether the target may get new flows now. A cold target at its limit may not.
    pub admits_flows: bool,
}

impl TargetCapacity {
    /// Returns the expected time from passing a request to its response: the target has other requests of
    /// the same number of slots to finish first.
    fn response_time(&self) -> Duration {
        self.service_time.saturating_mul(MAX_REQUESTS_PER_SLOT)
    }
}

impl WaitingRequest {
    fn wait(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived_at)
    }

    /// Returns whether the request can be answered within its objective if it is passed now. An objective
    /// that is shorter than the response time without a wait decides nothing: the request would starve.
    pub(super) fn is_in_time(&self, capacity: &TargetCapacity, now: Instant) -> bool {
        let objective = self.limits.latency_objective;
        let response_time = capacity.response_time();
        objective <= response_time || self.wait(now) + response_time <= objective
    }

    /// Returns the time for which the request may still wait to be passed, or nothing if that is over.
    fn wait_left(&self, capacity: &TargetCapacity, now: Instant) -> Option<Duration> {
        let timeout = self.limits.timeout;
        let response_time = capacity.response_time();
        // A response time beyond the timeout does not fit the request and says nothing about it.
        let timeout_wait = if timeout.is_zero() {
            Duration::MAX
        } else if response_time < timeout {
            timeout.saturating_sub(response_time)
        } else {
            timeout
        };
        let wait_max = match self.kind {
            RequestKind::OpenFlow => timeout_wait,
            RequestKind::Syn => timeout_wait
                .min(self.limits.syn_wait(capacity.min_syn_wait))
                .min(capacity.syn_wait_limit.unwrap_or(Duration::MAX)),
        };
        wait_max
            .checked_sub(self.wait(now))
            .filter(|left| !left.is_zero())
    }

    /// Returns whether the request may still be passed to the target.
    pub(super) fn may_start(&self, capacity: &TargetCapacity, now: Instant) -> bool {
        self.wait_left(capacity, now).is_some()
    }
}

impl FairTurns {
    /// Returns the index of the request to pass next, among requests in the order of their arrival. Returns
    /// nothing if none may start. Call [`Self::on_turn`] once it is passed.
    pub fn next(
        &mut self,
        waiting: &[WaitingRequest],
        capacity: &TargetCapacity,
        now: Instant,
    ) -> Option<usize> {
        self.update(waiting, now);
        let startable = |request: &WaitingRequest| {
            let is_admitted = capacity.admits_flows || request.kind == RequestKind::OpenFlow;
            is_admitted && request.may_start(capacity, now)
        };
        let has_in_time = waiting
            .iter()
            .any(|request| startable(request) && request.is_in_time(capacity, now));
        let is_candidate = |request: &WaitingRequest| {
            startable(request) && (!has_in_time || request.is_in_time(capacity, now))
        };
        let candidates = || waiting.iter().filter(|request| is_candidate(request));
        let priority = self.next_priority(candidates().map(|request| request.priority))?;
        let next = waiting
            .iter()
            .enumerate()
            .filter(|(_, request)| request.priority == priority && is_candidate(request))
            .min_by_key(|(index, request)| (self.passed_len(request.caller), Reverse(*index)));
        next.map(|(index, _)| index)
    }

    /// Returns the indices of the requests to give up now, in ascending order. These are requests of open
    /// flows that can't be answered before their timeout, and SYNs whose expected wait is longer than they
    /// may wait.
    pub fn given_up(
        &mut self,
        waiting: &[WaitingRequest],
        capacity: &TargetCapacity,
        now: Instant,
    ) -> Vec<usize> {
        self.update(waiting, now);
        let waits = self.expected_waits(waiting, capacity, now);
        let is_given_up = |index: &usize| {
            let request = &waiting[*index];
            request
                .wait_left(capacity, now)
                .is_none_or(|left| request.kind == RequestKind::Syn && waits[*index] > left)
        };
        (0..waiting.len()).filter(is_given_up).collect()
    }

    /// Returns the expected wait of each request if no further ones arrive: its position within its
    /// priority, at the share of the turns that the priority gets.
    fn expected_waits(
        &self,
        waiting: &[WaitingRequest],
        capacity: &TargetCapacity,
        now: Instant,
    ) -> Vec<Duration> {
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_by_cached_key(|index| {
            let request = &waiting[*index];
            let is_late = !request.is_in_time(capacity, now);
            let passed = self.passed_len(request.caller);
            (request.priority, is_late, passed, Reverse(*index))
        });
        let turn_time = capacity
            .service_time
            .div_f64(f64::from(capacity.slots.max(1)));
        let shares = self.turn_shares();
        let mut waits = vec![Duration::ZERO; waiting.len()];
        let mut position = 0_u32;
        let mut earlier_priority = None;
        for index in order {
            let priority = waiting[index].priority;
            position = if earlier_priority == Some(priority) {
                position + 1
            } else {
                1
            };
            earlier_priority = Some(priority);
            let share = shares.get(&priority).copied().unwrap_or(1.0);
            waits[index] = turn_time.mul_f64(f64::from(position) / share);
        }
        waits
    }
}
