//! Events in the order of their time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

#[derive(Debug)]
struct Scheduled<E> {
    at: Instant,
    number: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events to come; those of the same time keep the order in which they were added.
#[derive(Debug)]
pub(crate) struct Calendar<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    next_number: u64,
}

impl<E> Calendar<E> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_number: 0,
        }
    }

    pub(crate) fn add(&mut self, at: Instant, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Reverse(Scheduled { at, number, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
