//! The life cycle of an agent: starting, ready, draining, stopped.
//!
//! Each state is a type, so work that a state does not allow can't be written down. Draining takes
//! effect at the agent at once; balancers learn of it later or never, and what they still send is
//! refused as not run.

use std::time::{Duration, Instant};

use derive_more::Display;

/// The settings of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// How long requests that wait at the start of the drain may still start.
    pub start_grace: Duration,
    /// How long the agent stays at least, so that balancers hear of the drain and late requests
    /// are refused instead of lost.
    pub min_duration: Duration,
    /// How long nothing must be left before the exit, so that the last answers get out.
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

/// What is left at an agent.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{running} running, {waiting} waiting, {feeds} feeds")]
pub struct RemainingWork {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Feeds that are open.
    pub feeds: u32,
}

impl RemainingWork {
    /// Returns whether nothing is left.
    pub const fn is_empty(&self) -> bool {
        self.running == 0 && self.waiting == 0 && self.feeds == 0
    }
}

/// The agent takes no requests yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Starting;

/// The agent takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready;

/// The agent takes no new requests and finishes those it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    options: DrainOptions,
    since: Instant,
    remaining: RemainingWork,
    empty_since: Option<Instant>,
}

/// The agent has nothing left, and its process may exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// How long the drain took.
    pub drain_time: Duration,
}

/// The life cycle of an agent in the state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Lifecycle<S> {
    state: S,
}

impl Lifecycle<Starting> {
    /// Returns the life cycle of an agent that starts.
    pub const fn new() -> Self {
        Self { state: Starting }
    }

    /// The backend server works.
    pub const fn ready(self) -> Lifecycle<Ready> {
        Lifecycle { state: Ready }
    }

    /// The agent leaves before it was ready.
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
    /// The agent or its backend server leaves.
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
    /// Returns until when waiting requests may start; no new work starts after it.
    pub fn start_until(&self) -> Instant {
        self.state.since + self.state.options.start_grace
    }

    /// Takes in what is left now.
    pub fn observe(&mut self, remaining: RemainingWork, now: Instant) {
        let state = &mut self.state;
        state.remaining = remaining;
        state.empty_since = remaining
            .is_empty()
            .then(|| state.empty_since.unwrap_or(now));
    }

    /// Returns what the drain waits for, as last observed.
    pub fn remaining(&self) -> RemainingWork {
        self.state.remaining
    }

    /// Returns when the process may exit if nothing more arrives, or `None` while work is left.
    pub fn exit_at(&self) -> Option<Instant> {
        let empty = self.state.empty_since?;
        let earliest = self.state.since + self.state.options.min_duration;
        Some(earliest.max(empty + self.state.options.linger))
    }

    /// Ends the drain if nothing is left and the balancers had time to learn of it.
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
    /// Returns how long the drain took.
    pub const fn drain_time(&self) -> Duration {
        self.state.drain_time
    }
}
