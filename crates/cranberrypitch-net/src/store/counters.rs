//! Counts of calls per second.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;
use derive_more::Display;

/// The seconds that are kept.
const MAX_SECONDS: usize = 3600;

/// A call of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[expect(missing_docs, reason = "the names are those of the calls")]
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
    /// Returns whether the call may change the store.
    pub const fn is_write(self) -> bool {
        !matches!(self, Self::Get | Self::List | Self::Watch)
    }
}

/// The calls of one second.
pub type OperationCounts = FastMap<Operation, u64>;

/// Counts the calls that arrive at a store, second by second. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct CallCounters(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    current_since: Option<Instant>,
    seconds: VecDeque<OperationCounts>,
    total: OperationCounts,
}

impl CallCounters {
    /// Returns the calls since the start.
    pub fn total(&self, operation: Operation) -> u64 {
        self.lock().total.get(&operation).copied().unwrap_or(0)
    }

    /// Returns all calls since the start.
    pub fn total_calls(&self) -> u64 {
        self.lock().total.values().sum()
    }

    /// Returns the calls of the latest seconds, the current one last.
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
        counts.turn_to(now);
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
    fn turn_to(&mut self, now: Instant) {
        const SECOND: Duration = Duration::from_secs(1);
        let Some(since) = self.current_since else {
            self.current_since = Some(now);
            self.seconds.push_back(OperationCounts::default());
            return;
        };
        let passed = now.saturating_duration_since(since).as_secs();
        self.current_since = Some(since + SECOND * u32::try_from(passed).unwrap_or(u32::MAX));
        for _ in 0..passed.min(MAX_SECONDS as u64) {
            self.seconds.push_back(OperationCounts::default());
        }
        while self.seconds.len() > MAX_SECONDS {
            self.seconds.pop_front();
        }
    }
}
