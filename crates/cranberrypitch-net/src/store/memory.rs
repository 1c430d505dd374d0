//! An in-memory store with fault injection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::{Clock, SystemClock};
use tokio::sync::Notify;

use crate::store::counters::{CallCounters, Operation};
use crate::store::errors::{Error, Result};
use crate::store::faults::{Fault, FaultInjector};
use crate::store::state::State;
use crate::store::{Entry, Epoch, LeaseId, Listing, Put, Store, StoreKey, Version, WatchOutcome};

/// The interval at which a waiting watch checks for lapsed leases and injected faults.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An in-memory store. Clones share the content.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    shared: Arc<SharedStore>,
    call_timeout: Duration,
}

/// A copy of the content of a [`MemoryStore`].
#[derive(Clone, Debug)]
pub struct StoreCopy(State);

#[derive(Debug)]
struct SharedStore {
    state: Mutex<State>,
    changed: Notify,
    clock: Arc<dyn Clock>,
    faults: FaultInjector,
    counters: CallCounters,
}

impl MemoryStore {
    /// Returns an empty store whose leases follow `clock`. A call that is delayed by `call_timeout` or
    /// more fails as it would with [`HttpStore`](crate::store::HttpStore).
    pub fn new(clock: Arc<dyn Clock>, call_timeout: Duration) -> Self {
        let shared = SharedStore {
            state: Mutex::default(),
            changed: Notify::new(),
            clock,
            faults: FaultInjector::default(),
            counters: CallCounters::default(),
        };
        Self {
            shared: Arc::new(shared),
            call_timeout,
        }
    }

    /// Returns a copy of the content, for [`restore`](Self::restore).
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Replaces the content by that of a copy, as after a loss of the store. What was written since the
    /// copy is lost, and versions and leases are issued again from where they were then.
    pub fn restore(&self, copy: StoreCopy) {
        let now = self.shared.clock.now();
        self.lock().restore(copy.0, now);
        self.shared.changed.notify_waiters();
    }

    /// Returns the fault injector.
    pub fn faults(&self) -> &FaultInjector {
        &self.shared.faults
    }

    /// Returns the call counters.
    pub fn counters(&self) -> &CallCounters {
        &self.shared.counters
    }

    async fn call<T: Send>(
        &self,
        operation: Operation,
        effect: impl FnOnce(&mut State, Instant) -> Result<T> + Send,
    ) -> Result<T> {
        self.shared
            .counters
            .count(operation, self.shared.clock.now());
        let (delay, fault) = self.shared.faults.next(operation.is_write());
        let is_late = delay >= self.call_timeout;
        if !delay.is_zero() {
            tokio::time::sleep(delay.min(self.call_timeout)).await;
        }
        match fault {
            Fault::Refused => return Err(Error::unavailable(&"injected fault")),
            Fault::RequestLost => return Err(Error::outcome_unknown(&"request lost")),
            Fault::None | Fault::AnswerLost => {}
        }
        let answer = self.apply(operation, effect);
        match (is_late, operation.is_write()) {
            (true, true) => Err(Error::outcome_unknown(&"no answer in time")),
            (true, false) => Err(Error::unavailable(&"no answer in time")),
            (false, _) if fault == Fault::AnswerLost => Err(Error::outcome_unknown(&"answer lost")),
            (false, _) => answer,
        }
    }

    fn apply<T>(
        &self,
        operation: Operation,
        effect: impl FnOnce(&mut State, Instant) -> Result<T>,
    ) -> Result<T> {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let has_lapsed = state.expire_leases(now);
        let answer = effect(&mut state, now);
        drop(state);
        if has_lapsed || operation.is_write() {
            self.shared.changed.notify_waiters();
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        const CALL_TIMEOUT: Duration = Duration::from_secs(2);
        Self::new(Arc::new(SystemClock), CALL_TIMEOUT)
    }
}

impl Store for MemoryStore {
    fn epoch(&self) -> Option<Epoch> {
        Some(self.lock().epoch())
    }

    async fn get(&self, key: &StoreKey) -> Result<Option<Entry>> {
        self.call(Operation::Get, |state, _| Ok(state.get(key)))
            .await
    }

    async fn put(&self, put: Put) -> Result<Version> {
        self.call(Operation::Put, |state, _| state.put(put)).await
    }

    async fn delete(&self, key: &StoreKey, version: Version) -> Result<()> {
        self.call(Operation::Delete, |state, _| state.delete(key, version))
            .await
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Listing> {
        self.call(Operation::List, |state, _| Ok(state.list(prefix)))
            .await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.call(Operation::Grant, |state, now| Ok(state.grant(ttl, now)))
            .await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.call(Operation::Renew, |state, now| state.renew(lease, now))
            .await
    }

    async fn release(&self, lease: LeaseId) -> Result<()> {
        self.call(Operation::Release, |state, _| state.release(lease))
            .await
    }

    async fn watch(
        &self,
        prefix: &StoreKey,
        after: Version,
        wait: Duration,
    ) -> Result<WatchOutcome> {
        let deadline = tokio::time::Instant::now() + wait;
        let mut answer = self
            .call(
                Operation::Watch,
                |state, _| Ok(state.changes(prefix, after)),
            )
            .await?;
        loop {
            if let Some(watched) = answer {
                return Ok(watched);
            }
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            if remaining.is_zero() {
                return Ok(WatchOutcome::Unchanged);
            }
            let changed = self.shared.changed.notified();
            let wake_up = tokio::time::timeout(remaining.min(WATCH_CHECK_INTERVAL), changed).await;
            if self.shared.faults.is_down() {
                return Err(Error::unavailable(&"injected fault"));
            }
            // Checks for changes after a timeout as well: a lease may have lapsed without a wake-up.
            drop(wake_up);
            answer = self.apply(
                Operation::Watch,
                |state, _| Ok(state.changes(prefix, after)),
            )?;
        }
    }
}
