//! The callers whose next connection the agent refuses on behalf of a balancer.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::{Clock, FastMap};

/// The time for which an entry is valid. QUIC hands a first packet on within milliseconds, unless it is a
/// copy of one that it has processed.
const ENTRY_LIFETIME: Duration = Duration::from_secs(1);

/// Limits the memory that datagrams with spoofed caller addresses can occupy.
const MAX_ENTRIES: usize = 4096;

/// The callers whose first packets came with an order to refuse them.
#[derive(Debug)]
pub(crate) struct RefusedCallers {
    clock: Arc<dyn Clock>,
    recorded_at: Mutex<FastMap<SocketAddrV4, Instant>>,
}

impl RefusedCallers {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            recorded_at: Mutex::default(),
        }
    }

    /// Records a caller. Returns false if there are too many.
    pub(crate) fn record(&self, caller: SocketAddrV4) -> bool {
        let now = self.clock.now();
        let mut recorded_at = self.lock();
        if recorded_at.len() >= MAX_ENTRIES {
            recorded_at.retain(|_, at| is_valid(*at, now));
        }
        if recorded_at.len() >= MAX_ENTRIES {
            return false;
        }
        recorded_at.insert(caller, now);
        true
    }

    /// Removes a caller. Returns whether its connection must be refused.
    pub(crate) fn take(&self, caller: SocketAddrV4) -> bool {
        let now = self.clock.now();
        let recorded_at = self.lock().remove(&caller);
        recorded_at.is_some_and(|at| is_valid(at, now))
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddrV4, Instant>> {
        self.recorded_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_valid(recorded_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(recorded_at) < ENTRY_LIFETIME
}
