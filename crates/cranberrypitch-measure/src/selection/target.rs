//! A target with slots and a queue.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{AgentLoad, LoadMeter, MAX_REQUESTS_PER_SLOT, next_queued_syn};

/// What became of a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    Starts,
    Waits,
    Refused,
}

/// Serves requests in the order of their arrival.
#[derive(Debug)]
pub(super) struct Target {
    free_slots: u32,
    queue_len: usize,
    waiting: VecDeque<usize>,
    /// Requests whose flows open once the target has less to do, in the order of their arrival.
    held: Vec<(Instant, usize)>,
    slots: u32,
    meter: LoadMeter,
    pub(super) flows: usize,
    pub(super) started_at: Option<Instant>,
}

impl Target {
    pub(super) const fn new(slots: u32, queue_len: usize, now: Instant) -> Self {
        Self {
            free_slots: slots,
            queue_len,
            waiting: VecDeque::new(),
            held: Vec::new(),
            slots,
            meter: LoadMeter::new(now),
            flows: 0,
            started_at: None,
        }
    }

    pub(super) fn arrive(&mut self, request: usize, now: Instant) -> Arrival {
        if self.free_slots > 0 {
            self.free_slots -= 1;
            self.meter.begin_request(now);
            return Arrival::Starts;
        }
        if self.waiting.len() >= self.queue_len {
            return Arrival::Refused;
        }
        self.waiting.push_back(request);
        self.meter.begin_request(now);
        Arrival::Waits
    }

    /// Keeps a request whose flow opens while the target has enough to do. Returns whether it does.
    pub(super) fn hold(&mut self, request: usize, now: Instant) -> bool {
        let is_held = self.is_occupied();
        if is_held {
            self.held.push((now, request));
        }
        is_held
    }

    /// Returns the next request that was kept, if the target has room for it now, and how many were
    /// kept for longer than `limit`.
    pub(super) fn release(&mut self, limit: Duration, now: Instant) -> (Option<usize>, usize) {
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= limit;
        let before = self.held.len();
        self.held.retain(|(since, _)| !is_overdue(*since));
        let overdue = before - self.held.len();
        let newest = if self.is_occupied() {
            None
        } else {
            // All requests of the model are as urgent.
            let next = next_queued_syn(self.held.iter().map(|_| 0));
            next.map(|next| self.held.remove(next).1)
        };
        (newest, overdue)
    }

    fn is_occupied(&self) -> bool {
        let requests = self.slots - self.free_slots;
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        requests.saturating_add(waiting) >= self.slots * MAX_REQUESTS_PER_SLOT
    }

    /// Ends a request and returns the one that starts instead.
    pub(super) fn finish(&mut self, now: Instant) -> Option<usize> {
        self.meter.end_request(now);
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.free_slots += 1;
        }
        next
    }

    pub(super) fn load(&mut self, now: Instant) -> AgentLoad {
        self.meter.load(self.flows, now)
    }
}
