//! Limits on the rate of log lines.

use std::time::{Duration, Instant};

use crate::events::catalogue::{DropReason, Event};

/// Lets one line through per interval and counts the others.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    interval: Duration,
    last: Option<Instant>,
    count: u64,
}

impl RateLimit {
    /// Returns a limit of one line per interval.
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            last: None,
            count: 0,
        }
    }

    /// Counts an occurrence. Returns the count since the last line if a line is due now.
    pub fn count(&mut self, now: Instant) -> Option<u64> {
        self.add(1, now)
    }

    /// Counts several occurrences. Returns the count since the last line if a line is due now.
    pub fn add(&mut self, count: u64, now: Instant) -> Option<u64> {
        self.count += count;
        self.take(now)
    }

    /// Returns the count since the last line if it is not zero and a line is due now.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let recent = |last| now.saturating_duration_since(last) < self.interval;
        if self.count == 0 || self.last.is_some_and(recent) {
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

/// Counts dropped datagrams by reason and makes at most one event per reason and interval.
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

    /// Counts a dropped datagram. Returns the event if one is due now.
    pub fn count(&mut self, reason: DropReason, now: Instant) -> Option<Event> {
        self.add(reason, 1, now)
    }

    /// Counts several dropped datagrams. Returns the event if one is due now.
    pub fn add(&mut self, reason: DropReason, count: u64, now: Instant) -> Option<Event> {
        let count = self.limits[reason as usize].add(count, now)?;
        Some(Self::event(reason, count))
    }

    /// Returns the events that are due now for datagrams counted earlier.
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
