//! Feeds, as the callers' library keeps them: the new flow opens before the old one closes.

use std::time::{Duration, Instant};

/// A flow of a feed at one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) feed: usize,
    pub(super) target: usize,
    /// The next reading that the target sends.
    pub(super) next_to_send: u64,
    pub(super) is_open: bool,
    last_delivery: Instant,
}

impl Flow {
    pub(super) const fn new(feed: usize, target: usize, resume_from: u64, now: Instant) -> Self {
        Self {
            feed,
            target,
            next_to_send: resume_from,
            is_open: false,
            last_delivery: now,
        }
    }

    /// Returns when a message that is sent now arrives; messages of a flow keep their order.
    pub(super) fn delivery(&mut self, now: Instant, delay: Duration) -> Instant {
        self.last_delivery = self.last_delivery.max(now + delay);
        self.last_delivery
    }
}

/// A feed at its caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Feed {
    /// The next reading that the caller's program waits for.
    pub(super) next: u64,
    /// The flow that the caller reads.
    pub(super) flow: Option<usize>,
    pub(super) can_move: bool,
    pub(super) has_ended: bool,
    /// Whether the library drops readings below `next`.
    pub(super) drops_copies: bool,
    pub(super) missing: u32,
    pub(super) repeated: u32,
    pub(super) dropped: u32,
}

impl Feed {
    pub(super) const fn new(can_move: bool, drops_copies: bool) -> Self {
        Self {
            next: 0,
            flow: None,
            can_move,
            has_ended: false,
            drops_copies,
            missing: 0,
            repeated: 0,
            dropped: 0,
        }
    }

    /// Takes in a reading from any flow.
    pub(super) fn receive(&mut self, sequence: u64) {
        if sequence < self.next {
            if self.drops_copies {
                self.dropped += 1;
            } else {
                self.repeated += 1;
            }
            return;
        }
        let gap = u32::try_from(sequence - self.next).unwrap_or(u32::MAX);
        self.missing += gap;
        self.next = sequence + 1;
    }
}
