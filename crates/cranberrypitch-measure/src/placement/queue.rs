//! Waiting requests, one queue per organisation, served in turn.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The most requests of one organisation that wait at one target.
const ORGANISATION_QUEUE_MAX: usize = 64;

/// The time within which a request must start.
pub(crate) const DEADLINE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) flow: usize,
    pub(crate) since: Instant,
}

#[derive(Debug)]
pub(crate) struct OrganisationQueues {
    queues: Vec<VecDeque<Waiting>>,
    turns: VecDeque<usize>,
    len: u32,
}

impl OrganisationQueues {
    pub(crate) fn new(organisations: u32) -> Self {
        Self {
            queues: vec![VecDeque::new(); organisations as usize],
            turns: VecDeque::new(),
            len: 0,
        }
    }

    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    pub(crate) fn oldest_since(&self) -> Option<Instant> {
        let fronts = self.queues.iter().filter_map(VecDeque::front);
        fronts.map(|waiting| waiting.since).min()
    }

    /// Adds a request, unless the organisation's queue is full.
    pub(crate) fn push(&mut self, organisation: usize, waiting: Waiting) -> bool {
        let queue = &mut self.queues[organisation];
        if queue.len() >= ORGANISATION_QUEUE_MAX {
            return false;
        }
        if queue.is_empty() {
            self.turns.push_back(organisation);
        }
        queue.push_back(waiting);
        self.len += 1;
        true
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let organisation = self.turns.pop_front()?;
        let waiting = self.queues[organisation].pop_front()?;
        if !self.queues[organisation].is_empty() {
            self.turns.push_back(organisation);
        }
        self.len -= 1;
        Some(waiting)
    }

    /// Removes the requests whose deadline has passed, which must not take an organisation's turn.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<usize> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            while let Some(waiting) = queue.front()
                && now.saturating_duration_since(waiting.since) > DEADLINE
            {
                expired.extend(queue.pop_front().map(|waiting| waiting.flow));
                self.len -= 1;
            }
        }
        if !expired.is_empty() {
            let queues = &self.queues;
            self.turns
                .retain(|organisation| !queues[*organisation].is_empty());
        }
        expired
    }

    pub(crate) fn clear(&mut self) -> u32 {
        self.queues.iter_mut().for_each(VecDeque::clear);
        self.turns.clear();
        std::mem::take(&mut self.len)
    }
}
