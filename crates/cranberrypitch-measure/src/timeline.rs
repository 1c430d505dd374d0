//! The parts that the simulations share: a queue of events in time, and statistics.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cranberrypitch_core::{Error, Result};
use rand::{Rng, RngExt};

/// More than this demand takes long and shows nothing new.
const MAX_LOAD: f64 = 100.0;

/// A simulation of decisions that are told of events and of the times that they ask for.
pub(crate) trait Simulated {
    /// What happens at a time.
    type Step;

    /// Returns the events to come.
    fn timeline(&mut self) -> &mut Timeline<Self::Step>;

    /// Returns the next time that a decision asks to be told of.
    fn next_tick(&self, now: Instant) -> Option<Instant>;

    /// Tells the decisions of a time that they asked for.
    fn tick(&mut self, now: Instant);

    /// Carries out an event.
    fn step(&mut self, step: Self::Step, now: Instant);
}

/// Plays a simulation from `start` to `end`. A tick comes before the events of its time.
pub(crate) fn play(simulation: &mut impl Simulated, start: Instant, end: Instant) {
    let mut now = start;
    loop {
        let tick = simulation.next_tick(now);
        let event = simulation.timeline().next_time();
        let next = event.into_iter().chain(tick).min();
        let Some(next) = next.filter(|next| *next < end) else {
            return;
        };
        now = next;
        if tick == Some(next) {
            simulation.tick(now);
        } else if let Some((_, step)) = simulation.timeline().pop() {
            simulation.step(step, now);
        }
    }
}

/// Events in the order of their times; events of one time keep the order of their entry.
#[derive(Debug)]
pub(crate) struct Timeline<E> {
    events: BTreeMap<(Instant, u64), E>,
    entered: u64,
}

impl<E> Timeline<E> {
    pub(crate) const fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            entered: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.events.insert((at, self.entered), event);
        self.entered += 1;
    }

    fn next_time(&self) -> Option<Instant> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    fn pop(&mut self) -> Option<(Instant, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

/// Checks a demand, and sizes that must be at least one.
pub(crate) fn check_sizes(load: f64, sizes: &[(&'static str, bool)]) -> Result<()> {
    if !(load > 0.0 && load <= MAX_LOAD) {
        return Err(Error::setting("load", "more than 0, at most 100"));
    }
    match sizes.iter().find(|(_, is_valid)| !is_valid) {
        Some((setting, _)) => Err(Error::setting(setting, "too small")),
        None => Ok(()),
    }
}

/// Returns a time drawn from an exponential distribution.
pub(crate) fn exponential<R: Rng>(mean: Duration, rng: &mut R) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}

/// Returns Jain's index: 1 if all shares are equal, 1/n if one has everything.
pub(crate) fn jain_index(shares: &[u32]) -> f64 {
    let sum: f64 = shares.iter().map(|share| f64::from(*share)).sum();
    let squares: f64 = shares.iter().map(|share| f64::from(*share).powi(2)).sum();
    ratio(sum * sum, count(shares.len()) * squares)
}

/// Returns a value that `fraction` of the times don't exceed, in seconds.
pub(crate) fn percentile_s(times: &mut [Duration], fraction: f64) -> f64 {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let rank = (count(last) * fraction).round();
    let index = (0..=last).find(|index| count(*index) >= rank);
    let time = index.and_then(|index| times.get(index));
    rounded(time.map_or(0.0, Duration::as_secs_f64))
}

/// Returns `part / whole`, or 0 if there is no whole.
pub(crate) fn ratio(part: f64, whole: f64) -> f64 {
    rounded(if whole > 0.0 { part / whole } else { 0.0 })
}

/// Returns a count as a floating-point number.
pub(crate) fn count(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Rounds to four decimals, more than a run of a minute resolves.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
