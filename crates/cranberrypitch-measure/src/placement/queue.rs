//! Waiting requests in one queue per organisation, served round-robin.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The maximum number of requests of one organisation that wait at one target.
const ORGANISATION_QUEUE_LEN_MAX: usize = 64;

/// The maximum time from the arrival of a request to its start.
pub(crate) const START_DEADLINE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) flow: usize,
    pub(crate) arrived_at: Instant,
}

#[derive(Debug)]
pub(crate) struct OrganisationQueues {
    queues: Vec<VecDeque<QueuedRequest>>,
    round_robin: VecDeque<usize>,
    len: u32,
}

impl OrganisationQueues {
    pub(crate) fn new(organisations: u32) -> Self {
        Self {
            queues: vec![VecDeque::new(); organisations as usize],
            round_robin: VecDeque::new(),
            len: 0,
        }
    }

    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    pub(crate) fn oldest_arrival(&self) -> Option<Instant> {
        let fronts = self.queues.iter().filter_map(VecDeque::front);
        fronts.map(|request| request.arrived_at).min()
    }

    /// Appends a request; returns `false` if the organisation's queue is full.
    pub(crate) fn push(&mut self, organisation: usize, request: QueuedRequest) -> bool {
        let queue = &mut self.queues[organisation];
        if queue.len() >= ORGANISATION_QUEUE_LEN_MAX {
            return false;
        }
        if queue.is_empty() {
            self.round_robin.push_back(organisation);
        }
        queue.push_back(request);
        self.len += 1;
        true
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let organisation = self.round_robin.pop_front()?;
        let request = self.queues[organisation].pop_front()?;
        if !self.queues[organisation].is_empty() {
            self.round_robin.push_back(organisation);
        }
        self.len -= 1;
        Some(request)
    }

    /// Removes the requests whose deadline has passed, so that they don't use a round-robin turn, and
    /// returns the indices of their flows.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<usize> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            while let Some(request) = queue.front()
                && now.saturating_duration_since(request.arrived_at) > START_DEADLINE
            {
                expired.extend(queue.pop_front().map(|request| request.flow));
                self.len -= 1;
            }
        }
        if !expired.is_empty() {
            let queues = &self.queues;
            self.round_robin
                .retain(|organisation| !queues[*organisation].is_empty());
        }
        expired
    }

    pub(crate) fn clear(&mut self) -> u32 {
        self.queues.iter_mut().for_each(VecDeque::clear);
        self.round_robin.clear();
        std::mem::take(&mut self.len)
    }
}
