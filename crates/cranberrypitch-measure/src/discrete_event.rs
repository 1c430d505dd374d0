//! The discrete-event loop, event queue and statistics that the simulations share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cranberrypitch_core::{Error, Result};
use rand::{Rng, RngExt};

/// The highest offered load; higher ones only lengthen the run.
const MAX_LOAD: f64 = 100.0;

/// A discrete-event model of components that handle events and request ticks.
pub(crate) trait SimulationModel {
    /// A scheduled event.
    type Event;

    /// Returns the pending events.
    fn event_queue(&mut self) -> &mut EventQueue<Self::Event>;

    /// Returns the time of the next tick that a component requests.
    fn next_tick(&self, now: Instant) -> Option<Instant>;

    /// Handles a tick at the requested time.
    fn on_tick(&mut self, now: Instant);

    /// Handles an event.
    fn on_event(&mut self, event: Self::Event, now: Instant);
}

/// Runs a simulation from `start` until before `end`. A tick precedes the events of the same time.
pub(crate) fn run_simulation(simulation: &mut impl SimulationModel, start: Instant, end: Instant) {
    let mut now = start;
    loop {
        let tick = simulation.next_tick(now);
        let next_event = simulation.event_queue().next_time();
        let next = next_event.into_iter().chain(tick).min();
        let Some(next) = next.filter(|next| *next < end) else {
            return;
        };
        now = next;
        if tick == Some(next) {
            simulation.on_tick(now);
        } else if let Some((_, event)) = simulation.event_queue().pop() {
            simulation.on_event(event, now);
        }
    }
}

/// Pending events, ordered by time; events of the same time keep their scheduling order.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(Instant, u64), E>,
    next_sequence: u64,
}

impl<E> EventQueue<E> {
    pub(crate) const fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn schedule(&mut self, at: Instant, event: E) {
        self.events.insert((at, self.next_sequence), event);
        self.next_sequence += 1;
    }

    fn next_time(&self) -> Option<Instant> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    fn pop(&mut self) -> Option<(Instant, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

/// Returns an error if the load is out of range or the check of a named size has failed.
pub(crate) fn validate_sizes(load: f64, sizes: &[(&'static str, bool)]) -> Result<()> {
    if !(load > 0.0 && load <= MAX_LOAD) {
        return Err(Error::setting("load", "more than 0, at most 100"));
    }
    match sizes.iter().find(|(_, is_valid)| !is_valid) {
        Some((setting, _)) => Err(Error::setting(setting, "too small")),
        None => Ok(()),
    }
}

/// Draws a duration from an exponential distribution.
pub(crate) fn exponential<R: Rng>(mean: Duration, rng: &mut R) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}

/// Returns Jain's fairness index: 1 if all shares are equal, 1/n if one of n has everything.
pub(crate) fn jain_index(shares: &[u32]) -> f64 {
    let sum: f64 = shares.iter().map(|share| f64::from(*share)).sum();
    let squares: f64 = shares.iter().map(|share| f64::from(*share).powi(2)).sum();
    ratio(sum * sum, to_f64(shares.len()) * squares)
}

/// Sorts the times and returns the quantile for `fraction`, in seconds, by the nearest rank.
pub(crate) fn percentile_s(times: &mut [Duration], fraction: f64) -> f64 {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let rank = (to_f64(last) * fraction).round();
    let index = (0..=last).find(|index| to_f64(*index) >= rank);
    let time = index.and_then(|index| times.get(index));
    round_to_4_decimals(time.map_or(0.0, Duration::as_secs_f64))
}

/// Returns `part / whole`, or 0 if `whole` is not positive, rounded to four decimals.
pub(crate) fn ratio(part: f64, whole: f64) -> f64 {
    round_to_4_decimals(if whole > 0.0 { part / whole } else { 0.0 })
}

/// Converts a count; counts above `u32::MAX` saturate.
pub(crate) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Rounds to four decimals, which is finer than the resolution of a one-minute run.
pub(crate) fn round_to_4_decimals(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
