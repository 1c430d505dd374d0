//! Counters of store calls per second.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;
use derive_more::Display;

/// The number of seconds for which counts are kept.
const MAX_SECONDS: usize = 3600;

/// An operation of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[expect(
    missing_docs,
    reason = "the variants are named like the methods of the store"
)]
pub enum Operation {
    Get,
    Put,
    Delete,
    List,
    Grant,
    Renew,
    Release,
    Watch,
}

impl Operation {
    /// Returns whether the operation may change the store. Leases count as state of the store.
    pub const fn is_write(self) -> bool {
        !matches!(self, Self::Get | Self::List | Self::Watch)
    }
}

/// The number of calls of each operation, in one second or in total.
pub type OperationCounts = FastMap<Operation, u64>;

/// Counts the calls to a store in each second. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct CallCounters(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    current_second_start: Option<Instant>,
    seconds: VecDeque<OperationCounts>,
    total: OperationCounts,
}

impl CallCounters {
    /// Returns the number of calls of an operation since the start.
    pub fn total(&self, operation: Operation) -> u64 {
        self.lock().total.get(&operation).copied().unwrap_or(0)
    }

    /// Returns the number of all calls since the start.
    pub fn total_calls(&self) -> u64 {
        self.lock().total.values().sum()
    }

    /// Returns the counts of the latest seconds, the current one last.
    pub fn seconds(&self) -> Vec<OperationCounts> {
        self.lock().seconds.iter().cloned().collect()
    }

    /// Returns the number of calls in the busiest second.
    pub fn peak_per_second(&self) -> u64 {
        let counts = self.lock();
        let calls = counts.seconds.iter().map(|s| s.values().sum());
        calls.max().unwrap_or(0)
    }

    pub(crate) fn count(&self, operation: Operation, now: Instant) {
        let mut counts = self.lock();
        counts.advance_to(now);
        *counts.total.entry(operation).or_default() += 1;
        if let Some(second) = counts.seconds.back_mut() {
            *second.entry(operation).or_default() += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counts {
    fn advance_to(&mut self, now: Instant) {
        const SECOND: Duration = Duration::from_secs(1);
        let Some(second_start) = self.current_second_start else {
            self.current_second_start = Some(now);
            self.seconds.push_back(OperationCounts::default());
            return;
        };
        let elapsed_s = now.saturating_duration_since(second_start).as_secs();
        self.current_second_start =
            Some(second_start + SECOND * u32::try_from(elapsed_s).unwrap_or(u32::MAX));
        for _ in 0..elapsed_s.min(MAX_SECONDS as u64) {
            self.seconds.push_back(OperationCounts::default());
        }
        while self.seconds.len() > MAX_SECONDS {
            self.seconds.pop_front();
        }
    }
}
