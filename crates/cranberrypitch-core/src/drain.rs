//! The life cycle of an agent: starting, ready, draining, stopped.
//!
//! Each state is a type, so an operation that a state does not allow does not compile. A drain takes
//! effect at the agent immediately. Balancers receive the new state later or not at all; requests
//! that they still send are refused as not run.

use std::time::{Duration, Instant};

use derive_more::Display;

/// The settings of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// How long requests that are waiting at the start of the drain may still be started.
    pub start_grace: Duration,
    /// The minimum time from the start of the drain to the exit. In this time balancers receive the
    /// new state, and late requests are refused instead of lost.
    pub min_duration: Duration,
    /// How long no work must be left before the exit, so that the last answers are still sent.
    pub linger: Duration,
}

impl Default for DrainOptions {
    fn default() -> Self {
        Self {
            start_grace: Duration::from_secs(2),
            min_duration: Duration::from_secs(3),
            linger: Duration::from_millis(500),
        }
    }
}

/// The work that an agent has to finish before it may exit.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{running} running, {waiting} waiting, {feeds} feeds")]
pub struct RemainingWork {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of open feeds.
    pub feeds: u32,
}

impl RemainingWork {
    /// Returns whether no work is left.
    pub const fn is_empty(&self) -> bool {
        self.running == 0 && self.waiting == 0 && self.feeds == 0
    }
}

/// The state of an agent that does not accept requests yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Starting;

/// The state of an agent that accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready;

/// The state of an agent that refuses new requests and finishes those it has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    options: DrainOptions,
    since: Instant,
    remaining: RemainingWork,
    empty_since: Option<Instant>,
}

/// The state of an agent without work, whose process may exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// The time from the start of the drain to its end.
    pub drain_time: Duration,
}

/// The life cycle of an agent in the state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Lifecycle<S> {
    state: S,
}

impl Lifecycle<Starting> {
    /// Returns the life cycle of an agent that has just started.
    pub const fn new() -> Self {
        Self { state: Starting }
    }

    /// Makes the agent ready, after its backend server has become ready.
    pub const fn ready(self) -> Lifecycle<Ready> {
        Lifecycle { state: Ready }
    }

    /// Starts the drain of an agent that has never been ready.
    pub const fn drain(self, options: DrainOptions, now: Instant) -> Lifecycle<Draining> {
        Draining::begin(options, now)
    }
}

impl Default for Lifecycle<Starting> {
    fn default() -> Self {
        Self::new()
    }
}

impl Lifecycle<Ready> {
    /// Starts the drain of the agent.
    pub const fn drain(self, options: DrainOptions, now: Instant) -> Lifecycle<Draining> {
        Draining::begin(options, now)
    }
}

impl Draining {
    const fn begin(options: DrainOptions, now: Instant) -> Lifecycle<Self> {
        Lifecycle {
            state: Self {
                options,
                since: now,
                remaining: RemainingWork {
                    running: 0,
                    waiting: 0,
                    feeds: 0,
                },
                empty_since: None,
            },
        }
    }
}

impl Lifecycle<Draining> {
    /// Returns the time after which no request is started any more.
    pub fn start_until(&self) -> Instant {
        self.state.since + self.state.options.start_grace
    }

    /// Records the work that is left at `now`.
    pub fn observe(&mut self, remaining: RemainingWork, now: Instant) {
        let state = &mut self.state;
        state.remaining = remaining;
        state.empty_since = remaining
            .is_empty()
            .then(|| state.empty_since.unwrap_or(now));
    }

    /// Returns the work that was left at the last observation.
    pub fn remaining(&self) -> RemainingWork {
        self.state.remaining
    }

    /// Returns when the process may exit if no more work arrives, or `None` while work is left.
    pub fn exit_at(&self) -> Option<Instant> {
        let empty = self.state.empty_since?;
        let earliest = self.state.since + self.state.options.min_duration;
        Some(earliest.max(empty + self.state.options.linger))
    }

    /// Ends the drain if the exit time has come, and returns the unchanged life cycle otherwise.
    pub fn try_stop(self, now: Instant) -> Result<Lifecycle<Stopped>, Self> {
        match self.exit_at() {
            Some(exit) if exit <= now => Ok(Lifecycle {
                state: Stopped {
                    drain_time: now.saturating_duration_since(self.state.since),
                },
            }),
            _ => Err(self),
        }
    }
}

impl Lifecycle<Stopped> {
    /// Returns the time from the start of the drain to its end.
    pub const fn drain_time(&self) -> Duration {
        self.state.drain_time
    }
}
