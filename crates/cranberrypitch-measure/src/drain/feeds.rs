//! The state of feeds, as in the caller library: the new flow opens before the old one closes.

use std::time::{Duration, Instant};

/// A flow of a feed at one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) feed: usize,
    pub(super) target: usize,
    /// The sequence number of the next reading that the target sends.
    pub(super) next_sequence_to_send: u64,
    pub(super) is_open: bool,
    last_delivery: Instant,
}

impl Flow {
    pub(super) const fn new(feed: usize, target: usize, resume_from: u64, now: Instant) -> Self {
        Self {
            feed,
            target,
            next_sequence_to_send: resume_from,
            is_open: false,
            last_delivery: now,
        }
    }

    /// Returns the arrival time of a message that is sent now; messages of a flow keep their order.
    pub(super) fn delivery_time(&mut self, now: Instant, delay: Duration) -> Instant {
        self.last_delivery = self.last_delivery.max(now + delay);
        self.last_delivery
    }
}

/// The state of a feed at its caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Feed {
    /// The sequence number of the next reading that the calling program expects.
    pub(super) next_sequence: u64,
    /// The index of the flow that the caller reads from.
    pub(super) current_flow: Option<usize>,
    pub(super) can_move: bool,
    pub(super) has_ended: bool,
    /// Whether the caller library drops readings below `next_sequence`.
    pub(super) drops_duplicates: bool,
    pub(super) missing_readings: u32,
    pub(super) repeated_readings: u32,
    pub(super) dropped_duplicates: u32,
}

impl Feed {
    pub(super) const fn new(can_move: bool, drops_duplicates: bool) -> Self {
        Self {
            next_sequence: 0,
            current_flow: None,
            can_move,
            has_ended: false,
            drops_duplicates,
            missing_readings: 0,
            repeated_readings: 0,
            dropped_duplicates: 0,
        }
    }

    /// Processes a reading from any flow: counts duplicates and skipped readings.
    pub(super) fn receive(&mut self, sequence: u64) {
        if sequence < self.next_sequence {
            if self.drops_duplicates {
                self.dropped_duplicates += 1;
            } else {
                self.repeated_readings += 1;
            }
            return;
        }
        let gap = u32::try_from(sequence - self.next_sequence).unwrap_or(u32::MAX);
        self.missing_readings += gap;
        self.next_sequence = sequence + 1;
    }
}
