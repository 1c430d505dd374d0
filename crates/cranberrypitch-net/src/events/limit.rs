//! Rate limits for log lines.

use std::time::{Duration, Instant};

use crate::events::catalogue::{DropReason, Event};

/// Allows one log line per interval and counts the occurrences in between.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    interval: Duration,
    last_line: Option<Instant>,
    count: u64,
}

impl RateLimit {
    /// Returns a limit of one line per interval.
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            last_line: None,
            count: 0,
        }
    }

    /// Counts one occurrence. Returns the count since the last line if a line is due now.
    pub fn count(&mut self, now: Instant) -> Option<u64> {
        self.add(1, now)
    }

    /// Counts several occurrences. Returns the count since the last line if a line is due now.
    pub fn add(&mut self, count: u64, now: Instant) -> Option<u64> {
        self.count += count;
        self.take(now)
    }

    /// Returns and resets the count since the last line if it is not zero and a line is due now.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let is_recent = |last| now.saturating_duration_since(last) < self.interval;
        if self.count == 0 || self.last_line.is_some_and(is_recent) {
            return None;
        }
        self.last_line = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

/// Counts dropped datagrams by reason and returns at most one event per reason and interval.
#[derive(Clone, Debug)]
pub struct DropLog {
    limits: [RateLimit; DropReason::ALL.len()],
}

impl DropLog {
    /// Returns a log with at most one event per reason and interval.
    pub const fn new(interval: Duration) -> Self {
        Self {
            limits: [RateLimit::new(interval); DropReason::ALL.len()],
        }
    }

    /// Counts one dropped datagram. Returns an event if one is due now.
    pub fn count(&mut self, reason: DropReason, now: Instant) -> Option<Event> {
        self.add(reason, 1, now)
    }

    /// Counts several dropped datagrams. Returns an event if one is due now.
    pub fn add(&mut self, reason: DropReason, count: u64, now: Instant) -> Option<Event> {
        let count = self.limits[reason as usize].add(count, now)?;
        Some(Self::event(reason, count))
    }

    /// Returns the events due now for datagrams that were counted earlier.
    pub fn due(&mut self, now: Instant) -> impl Iterator<Item = Event> + '_ {
        let limits = DropReason::ALL.into_iter().zip(&mut self.limits);
        limits.filter_map(move |(reason, limit)| Some(Self::event(reason, limit.take(now)?)))
    }

    const fn event(reason: DropReason, count: u64) -> Event {
        match reason {
            DropReason::Misdirected => Event::MisdirectedDropped { count },
            DropReason::NoBalancer => Event::NoReturnPath { count },
            _ => Event::DatagramsDropped { count, reason },
        }
    }
}
