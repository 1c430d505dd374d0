//! A simulated target with slots and a bounded queue.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use cranberrypitch_core::Slots;
use cranberrypitch_core::flow::{
    AgentLoad, FairTurns, LoadMeter, MAX_REQUESTS_PER_SLOT, RequestKind, RequestLimits,
    TargetCapacity, WaitingRequest,
};

/// The result of an arrival at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ArrivalResult {
    Started,
    Queued,
    Refused,
}

/// A target that serves requests first in, first out.
#[derive(Debug)]
pub(super) struct Target {
    free_slots: u32,
    queue_len_max: usize,
    waiting: VecDeque<usize>,
    /// Requests whose new flows are held until the target is below its load limit, by arrival.
    held_requests: Vec<(Instant, usize)>,
    turns: FairTurns,
    slots: u32,
    meter: LoadMeter,
    pub(super) open_flows: usize,
    pub(super) started_at: Option<Instant>,
}

impl Target {
    pub(super) fn new(slots: u32, queue_len_max: usize, now: Instant) -> Self {
        Self {
            free_slots: slots,
            queue_len_max,
            waiting: VecDeque::new(),
            held_requests: Vec::new(),
            turns: FairTurns::default(),
            slots,
            meter: LoadMeter::new(Slots::new(slots), now),
            open_flows: 0,
            started_at: None,
        }
    }

    pub(super) fn arrive(&mut self, request: usize, now: Instant) -> ArrivalResult {
        if self.free_slots > 0 {
            self.free_slots -= 1;
            self.meter.begin_request(now);
            return ArrivalResult::Started;
        }
        if self.waiting.len() >= self.queue_len_max {
            return ArrivalResult::Refused;
        }
        self.waiting.push_back(request);
        self.meter.begin_request(now);
        ArrivalResult::Queued
    }

    /// Holds a request that opens a flow if the target is at its load limit; returns whether it did.
    pub(super) fn hold_if_busy(&mut self, request: usize, now: Instant) -> bool {
        let is_held = self.is_busy();
        if is_held {
            self.held_requests.push((now, request));
        }
        is_held
    }

    /// Returns the next held request, if the target is below its load limit, and the number of requests
    /// that were dropped because they had been held for `limit` or longer.
    pub(super) fn release_held(&mut self, limit: Duration, now: Instant) -> (Option<usize>, usize) {
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= limit;
        let before = self.held_requests.len();
        self.held_requests.retain(|(since, _)| !is_overdue(*since));
        let overdue = before - self.held_requests.len();
        let next_held = if self.is_busy() {
            None
        } else {
            self.take_next_held(limit, now)
        };
        (next_held, overdue)
    }

    /// Takes out the next held request. All requests of the model have the same priority and caller, and
    /// the agents don't know their service time.
    fn take_next_held(&mut self, limit: Duration, now: Instant) -> Option<usize> {
        let waiting_request = |(arrived_at, _): &(Instant, usize)| WaitingRequest {
            kind: RequestKind::Syn,
            priority: 0,
            limits: RequestLimits::default(),
            caller: Ipv4Addr::LOCALHOST,
            arrived_at: *arrived_at,
        };
        let waiting: Vec<_> = self.held_requests.iter().map(waiting_request).collect();
        let capacity = TargetCapacity {
            service_time: Duration::ZERO,
            slots: self.slots,
            min_syn_wait: limit,
            syn_wait_limit: Some(limit),
            admits_flows: true,
        };
        let next = self.turns.next(&waiting, &capacity, now)?;
        Some(self.held_requests.remove(next).1)
    }

    fn is_busy(&self) -> bool {
        let running = self.slots - self.free_slots;
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        running.saturating_add(waiting) >= self.slots * MAX_REQUESTS_PER_SLOT
    }

    /// Ends a request and returns the queued one that takes over its slot.
    pub(super) fn finish(&mut self, now: Instant) -> Option<usize> {
        self.meter.complete_request(now);
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.free_slots += 1;
        }
        next
    }

    pub(super) fn load(&mut self, now: Instant) -> AgentLoad {
        self.meter.load(self.open_flows, now)
    }
}
