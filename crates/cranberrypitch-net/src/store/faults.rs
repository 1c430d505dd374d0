//! Switches that make a store fail on purpose.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The fault switches of a [`MemoryStore`](crate::store::MemoryStore). Clones share the switches.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector(Arc<Mutex<Switches>>);

#[derive(Debug, Default)]
struct Switches {
    down: bool,
    calls_until_down: Option<u32>,
    delay: Duration,
    skipped_writes: u32,
    lost_answers: u32,
    lost_requests: u32,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Refused,
    RequestLost,
    AnswerLost,
}

impl FaultInjector {
    /// Refuses all calls, or ends that.
    pub fn set_down(&self, down: bool) {
        let mut switches = self.lock();
        switches.down = down;
        switches.calls_until_down = None;
    }

    /// Refuses all calls after the next `calls`.
    pub fn fail_after(&self, calls: u32) {
        self.lock().calls_until_down = Some(calls);
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Loses the answers of `count` writes, which take effect, after `skipped` writes that go well.
    pub fn lose_answers(&self, skipped: u32, count: u32) {
        let mut switches = self.lock();
        switches.skipped_writes = skipped;
        switches.lost_answers = count;
    }

    /// Loses `count` writes, which take no effect, after `skipped` writes that go well.
    pub fn lose_requests(&self, skipped: u32, count: u32) {
        let mut switches = self.lock();
        switches.skipped_writes = skipped;
        switches.lost_requests = count;
    }

    pub(crate) fn is_down(&self) -> bool {
        self.lock().down
    }

    /// Returns the delay and the fault of the next call.
    pub(crate) fn next(&self, is_write: bool) -> (Duration, Fault) {
        let mut switches = self.lock();
        (switches.delay, switches.next(is_write))
    }

    fn lock(&self) -> MutexGuard<'_, Switches> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Switches {
    fn next(&mut self, is_write: bool) -> Fault {
        match &mut self.calls_until_down {
            Some(0) => {
                self.down = true;
                self.calls_until_down = None;
            }
            Some(calls) => *calls -= 1,
            None => {}
        }
        if self.down {
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
