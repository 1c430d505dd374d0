//! Whose turn it is: the fair turns of priorities, and the requests of each caller in the last second.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::decision::WaitingRequest;
use crate::collections::{FastMap, FastSet};

/// The turns of a priority for each turn of the next lower one that waits. The lower one of two gets one turn in five.
const TURNS_PER_STEP: f64 = 4.0;

/// The maximum number of steps between two priorities, so that the lowest one gets a turn in bounded time.
const MAX_STEPS: i32 = 4;

/// The time for which a passed request counts for its caller.
const CALLER_WINDOW: Duration = Duration::from_secs(1);

/// The virtual times of the turns of a priority.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityTurns {
    /// The start of its next turn. None while none of its requests waits.
    start: Option<f64>,
    /// The end of its last turn.
    end: f64,
}

/// The state of weighted fair queueing between priorities and between callers.
#[derive(Clone, Debug, Default)]
pub struct FairTurns {
    virtual_time: f64,
    priorities: BTreeMap<u8, PriorityTurns>,
    /// The requests passed within [`CALLER_WINDOW`], oldest first.
    passed: VecDeque<(Instant, Ipv4Addr)>,
    passed_by_caller: FastMap<Ipv4Addr, u32>,
}

impl FairTurns {
    /// Counts a request that was passed to the target, with or without a wait.
    pub fn on_passed(&mut self, caller: Ipv4Addr, now: Instant) {
        self.expire(now);
        self.passed.push_back((now, caller));
        *self.passed_by_caller.entry(caller).or_default() += 1;
    }

    /// Counts the turn of a priority whose waiting request was passed.
    pub fn on_turn(&mut self, priority: u8) {
        let steps = self.steps(priority);
        let virtual_time = self.virtual_time;
        let turns = self.priorities.entry(priority).or_default();
        let start = turns.start.unwrap_or(virtual_time);
        turns.end = start + TURNS_PER_STEP.powi(steps);
        turns.start = Some(turns.end);
        self.virtual_time = virtual_time.max(start);
    }

    /// Returns the number of requests of a caller that were passed within [`CALLER_WINDOW`].
    pub(super) fn passed_len(&self, caller: Ipv4Addr) -> u32 {
        self.passed_by_caller.get(&caller).copied().unwrap_or(0)
    }

    /// Takes up the priorities that wait now, and removes passed requests from before the window.
    pub(super) fn update(&mut self, waiting: &[WaitingRequest], now: Instant) {
        self.expire(now);
        let present: FastSet<u8> = waiting.iter().map(|request| request.priority).collect();
        for (priority, turns) in &mut self.priorities {
            if !present.contains(priority) {
                turns.start = None;
            }
        }
        let virtual_time = self.virtual_time;
        for priority in present {
            let turns = self.priorities.entry(priority).or_default();
            turns.start.get_or_insert(turns.end.max(virtual_time));
        }
    }

    /// Returns the priority among the given ones whose next turn ends first; the higher one of equals.
    pub(super) fn next_priority(&self, priorities: impl Iterator<Item = u8>) -> Option<u8> {
        let end = |priority: u8| {
            let turns = self.priorities.get(&priority).copied().unwrap_or_default();
            let start = turns.start.unwrap_or(self.virtual_time);
            start + TURNS_PER_STEP.powi(self.steps(priority))
        };
        let ends = priorities.map(|priority| (end(priority), priority));
        let next = ends.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        next.map(|(_, priority)| priority)
    }

    /// Returns the share of the turns that each waiting priority gets.
    pub(super) fn turn_shares(&self) -> FastMap<u8, f64> {
        let weight = |priority: u8| TURNS_PER_STEP.powi(-self.steps(priority));
        let total: f64 = self.waiting_priorities().map(weight).sum();
        self.waiting_priorities()
            .map(|priority| (priority, weight(priority) / total))
            .collect()
    }

    /// Returns the number of waiting priorities that are higher, at most [`MAX_STEPS`].
    fn steps(&self, priority: u8) -> i32 {
        let higher = self.waiting_priorities().filter(|other| *other < priority);
        i32::try_from(higher.count()).map_or(MAX_STEPS, |count| count.min(MAX_STEPS))
    }

    fn waiting_priorities(&self) -> impl Iterator<Item = u8> {
        let waiting = self
            .priorities
            .iter()
            .filter(|(_, turns)| turns.start.is_some());
        waiting.map(|(priority, _)| *priority)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, caller)) = self.passed.front().copied()
            && now.saturating_duration_since(at) >= CALLER_WINDOW
        {
            self.passed.pop_front();
            if let Some(count) = self.passed_by_caller.get_mut(&caller) {
                *count -= 1;
                if *count == 0 {
                    self.passed_by_caller.remove(&caller);
                }
            }
        }
    }
}
