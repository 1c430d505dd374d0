//! Fault injection for the in-memory store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Injects faults into the calls of a [`MemoryStore`](crate::store::MemoryStore). Clones share the
/// state.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector(Arc<Mutex<FaultState>>);

#[derive(Debug, Default)]
struct FaultState {
    is_down: bool,
    calls_until_down: Option<u32>,
    delay: Duration,
    skipped_writes: u32,
    lost_answers: u32,
    lost_requests: u32,
}

/// The fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Refused,
    RequestLost,
    AnswerLost,
}

impl FaultInjector {
    /// Makes the store refuse all calls, or accept them again.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.lock();
        state.is_down = is_down;
        state.calls_until_down = None;
    }

    /// Makes the store refuse all calls after the next `calls` calls.
    pub fn fail_after(&self, calls: u32) {
        self.lock().calls_until_down = Some(calls);
    }

    /// Delays each call by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Drops the answers of `count` writes, which take effect, after `skipped` unaffected writes.
    pub fn lose_answers(&self, skipped: u32, count: u32) {
        let mut state = self.lock();
        state.skipped_writes = skipped;
        state.lost_answers = count;
    }

    /// Drops the requests of `count` writes, which have no effect, after `skipped` unaffected writes.
    pub fn lose_requests(&self, skipped: u32, count: u32) {
        let mut state = self.lock();
        state.skipped_writes = skipped;
        state.lost_requests = count;
    }

    pub(crate) fn is_down(&self) -> bool {
        self.lock().is_down
    }

    /// Returns the delay and the fault of the next call.
    pub(crate) fn next(&self, is_write: bool) -> (Duration, Fault) {
        let mut state = self.lock();
        (state.delay, state.next(is_write))
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultState {
    fn next(&mut self, is_write: bool) -> Fault {
        match &mut self.calls_until_down {
            Some(0) => {
                self.is_down = true;
                self.calls_until_down = None;
            }
            Some(calls) => *calls -= 1,
            None => {}
        }
        if self.is_down {
            Fault::Refused
        } else if is_write {
            self.next_write()
        } else {
            Fault::None
        }
    }

    fn next_write(&mut self) -> Fault {
        if self.lost_answers + self.lost_requests == 0 {
            return Fault::None;
        }
        if self.skipped_writes > 0 {
            self.skipped_writes -= 1;
            return Fault::None;
        }
        if self.lost_requests > 0 {
            self.lost_requests -= 1;
            return Fault::RequestLost;
        }
        self.lost_answers -= 1;
        Fault::AnswerLost
    }
}
