//! When a packet of a caller arrived at a balancer.
//!
//! A balancer that stood still, or that is behind with its work, reads packets long after they arrived. The time at
//! which it reads a packet says nothing about its age: a SYN may be one whose flow was opened meanwhile by a
//! copy that another balancer got. What is known is that a packet arrived after the socket was last empty.

use std::time::{Duration, Instant};

use super::routes::SYN_ATTEMPT_TIMEOUT;

/// When a packet arrived, as far as its reader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    earliest: Instant,
    read_at: Instant,
    longest_pause: Duration,
}

impl Arrival {
    /// Returns the arrival of a packet that is read as it arrives.
    pub const fn at(now: Instant) -> Self {
        Self {
            earliest: now,
            read_at: now,
            longest_pause: Duration::ZERO,
        }
    }

    /// Returns the arrival of a packet that is read now from a socket that was empty at `earliest`. Since then, the
    /// reader stood still for `longest_pause` at most.
    pub const fn since(earliest: Instant, longest_pause: Duration, now: Instant) -> Self {
        Self {
            earliest,
            read_at: now,
            longest_pause,
        }
    }

    /// Returns the arrival of a packet that was kept in a buffer until now.
    pub(super) fn kept_until(self, now: Instant) -> Self {
        let kept_for = now.saturating_duration_since(self.read_at);
        Self {
            read_at: now,
            longest_pause: self.longest_pause.max(kept_for),
            ..self
        }
    }

    /// Returns the earliest time at which the packet can have arrived.
    pub(super) const fn earliest(self) -> Instant {
        self.earliest
    }

    /// Returns the time at which the packet was read.
    pub const fn read_at(self) -> Instant {
        self.read_at
    }

    /// Returns whether the caller of a SYN may have given it up by now, as the packet may have arrived during a pause
    /// that lasted for as long as callers try. Packets that only wait behind others don't count, so that a balancer
    /// that is behind with its work goes on opening flows.
    pub(super) fn may_be_given_up(self) -> bool {
        self.longest_pause >= SYN_ATTEMPT_TIMEOUT
    }
}

/// Tracks since when the packets in a socket can have arrived.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalTracker {
    /// The time at which the socket was last empty.
    empty_at: Instant,
    /// The time at which the reader last ran.
    turn_at: Instant,
    /// The longest time between two turns of the reader since the socket was empty.
    longest_pause: Duration,
}

impl ArrivalTracker {
    /// Returns the tracker of a socket that is opened now.
    pub const fn new(now: Instant) -> Self {
        Self {
            empty_at: now,
            turn_at: now,
            longest_pause: Duration::ZERO,
        }
    }

    /// Records that the reader runs.
    pub fn on_turn(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.turn_at);
        self.longest_pause = self.longest_pause.max(pause);
        self.turn_at = now;
    }

    /// Records that the socket was found empty after `as_of`.
    pub const fn on_empty(&mut self, as_of: Instant) {
        self.empty_at = as_of;
        self.longest_pause = Duration::ZERO;
    }

    /// Returns the time since the reader last ran.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.turn_at)
    }

    /// Returns the arrival of a packet that is read now.
    pub const fn arrival(&self, now: Instant) -> Arrival {
        Arrival::since(self.empty_at, self.longest_pause, now)
    }
}
