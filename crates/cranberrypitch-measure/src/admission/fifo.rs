//! The baseline policy: one first-in first-out queue for all organisations.

use std::collections::VecDeque;
use std::time::Instant;

use cranberrypitch_core::admission::{Action, Event};
use cranberrypitch_core::{NotRunReason, RequestId};

/// A bounded first-in first-out queue in front of the slots.
#[derive(Debug)]
pub(super) struct FifoQueue {
    slots: u32,
    queue_len: usize,
    refuses_expired: bool,
    running: u32,
    waiting: VecDeque<(RequestId, Instant)>,
}

impl FifoQueue {
    /// Creates an empty queue; with `refuses_expired` it refuses requests whose deadline has passed.
    pub(super) fn new(slots: u32, queue_len: u32, refuses_expired: bool) -> Self {
        Self {
            slots,
            queue_len: queue_len as usize,
            refuses_expired,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submit(submission) if self.waiting.len() >= self.queue_len => {
                actions.push(Action::Refuse(submission.request, NotRunReason::QueueFull));
            }
            Event::Submit(submission) => {
                self.waiting
                    .push_back((submission.request, submission.deadline));
            }
            Event::Finish { .. } => self.running -= 1,
            _ => {}
        }
        self.expire(now, &mut actions);
        while self.running < self.slots {
            let Some((request, _)) = self.waiting.pop_front() else {
                break;
            };
            self.running += 1;
            actions.push(Action::Start(request));
        }
        actions
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        let (_, deadline) = self.waiting.front().filter(|_| self.refuses_expired)?;
        Some(*deadline)
    }

    /// Refuses expired requests from the front: all have the same relative deadline, so the oldest
    /// request expires first.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.refuses_expired {
            return;
        }
        while let Some((request, deadline)) = self.waiting.front() {
            if *deadline > now {
                break;
            }
            actions.push(Action::Refuse(*request, NotRunReason::Deadline));
            self.waiting.pop_front();
        }
    }
}
