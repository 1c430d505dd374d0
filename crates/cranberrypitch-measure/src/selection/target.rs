//! A target with slots and a queue.

use std::collections::VecDeque;
use std::time::Instant;

use cranberrypitch_core::flow::{AgentLoad, LoadMeter};

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
            meter: LoadMeter::new(now),
            flows: 0,
            started_at: None,
        }
    }

    pub(super) fn arrive(&mut self, request: usize, now: Instant) -> Arrival {
        if self.free_slots > 0 {
            self.free_slots -= 1;
            self.meter.begin(now);
            return Arrival::Starts;
        }
        if self.waiting.len() >= self.queue_len {
            return Arrival::Refused;
        }
        self.waiting.push_back(request);
        self.meter.begin(now);
        Arrival::Waits
    }

    /// Ends a request and returns the one that starts instead.
    pub(super) fn finish(&mut self, now: Instant) -> Option<usize> {
        self.meter.end(now);
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
