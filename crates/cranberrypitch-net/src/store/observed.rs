//! A store wrapper that logs outages and measures calls.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::events::Event;
use crate::metrics::{Counter, Metrics, Timer};
use crate::store::{
    Entry, Epoch, EpochTracker, Error, LeaseId, Listing, Operation, Put, Result, Store, StoreKey,
    Version, WatchOutcome,
};

/// Receives a notification for each call to a store.
pub trait StoreObserver: Send + Sync + 'static {
    /// Called after each call, with its outcome and duration.
    fn on_call(
        &self,
        operation: Operation,
        outcome: std::result::Result<(), &Error>,
        elapsed: Duration,
    );

    /// Called after each call once the store has answered, with the newest epoch in its answers.
    fn on_epoch(&self, epoch: Epoch);

    /// Called after each call, with the number of items in the answers so far that were left out as
    /// malformed.
    fn on_malformed_items(&self, _total: u64) {}
}

/// The observer of all store clients of a process. Logs when the store becomes unavailable and when it
/// answers again or was restored, and records metrics of the calls.
#[derive(Clone, Debug)]
pub struct StoreMonitor {
    address: SocketAddrV4,
    metrics: Metrics,
    down_since: Arc<Mutex<Option<Instant>>>,
    epochs: EpochTracker,
}

impl StoreMonitor {
    /// Returns a monitor of the store at an address.
    pub fn new(address: SocketAddrV4, metrics: Metrics) -> Self {
        Self {
            address,
            metrics,
            down_since: Arc::default(),
            epochs: EpochTracker::default(),
        }
    }

    /// Wraps a store so that this monitor observes its calls.
    pub fn observe<S: Store>(&self, store: S) -> ObservedStore<S, Self> {
        ObservedStore::new(store, self.clone())
    }

    fn record_down(&self, error: &Error) {
        let mut down_since = lock(&self.down_since);
        if down_since.is_some() {
            return;
        }
        *down_since = Some(Instant::now());
        Event::StoreDown {
            address: self.address,
            error: error.to_string().into(),
        }
        .log();
    }

    fn record_up(&self) {
        if let Some(since) = lock(&self.down_since).take() {
            Event::StoreBack {
                address: self.address,
                down_ms: since.elapsed(),
            }
            .log();
        }
    }
}

impl StoreObserver for StoreMonitor {
    fn on_call(
        &self,
        operation: Operation,
        outcome: std::result::Result<(), &Error>,
        elapsed: Duration,
    ) {
        // The duration of a watch depends on when a key changes, so it is not recorded.
        if operation != Operation::Watch {
            self.metrics.time(Timer::StoreCall, elapsed);
        }
        self.metrics.count(Counter::StoreCalls, 1);
        match outcome {
            Err(
                error @ (Error::Unavailable { .. }
                | Error::IncompleteResponse { .. }
                | Error::OutcomeUnknown { .. }),
            ) => {
                self.metrics.count(Counter::StoreErrors, 1);
                self.record_down(error);
            }
            _ => self.record_up(),
        }
    }

    fn on_epoch(&self, epoch: Epoch) {
        if let Some(previous) = self.epochs.observe(epoch) {
            Event::StoreRestored { epoch, previous }.log();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A store wrapper that notifies an observer of each call.
#[derive(Debug)]
pub struct ObservedStore<S, O> {
    store: S,
    observer: O,
}

impl<S: Store, O: StoreObserver> ObservedStore<S, O> {
    /// Wraps a store so that `observer` is notified of each call.
    pub const fn new(store: S, observer: O) -> Self {
        Self { store, observer }
    }

    async fn observe_call<T>(
        &self,
        operation: Operation,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let started_at = Instant::now();
        let result = call.await;
        let outcome = result.as_ref().map(|_| ());
        self.observer
            .on_call(operation, outcome, started_at.elapsed());
        if let Some(epoch) = self.store.epoch() {
            self.observer.on_epoch(epoch);
        }
        self.observer
            .on_malformed_items(self.store.malformed_items());
        result
    }
}

impl<S: Store, O: StoreObserver> Store for ObservedStore<S, O> {
    fn epoch(&self) -> Option<Epoch> {
        self.store.epoch()
    }

    fn malformed_items(&self) -> u64 {
        self.store.malformed_items()
    }

    async fn get(&self, key: &StoreKey) -> Result<Option<Entry>> {
        self.observe_call(Operation::Get, self.store.get(key)).await
    }

    async fn put(&self, put: Put) -> Result<Version> {
        self.observe_call(Operation::Put, self.store.put(put)).await
    }

    async fn delete(&self, key: &StoreKey, version: Version) -> Result<()> {
        let call = self.store.delete(key, version);
        self.observe_call(Operation::Delete, call).await
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Listing> {
        self.observe_call(Operation::List, self.store.list(prefix))
            .await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.observe_call(Operation::Grant, self.store.grant(ttl))
            .await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.observe_call(Operation::Renew, self.store.renew(lease))
            .await
    }

    async fn release(&self, lease: LeaseId) -> Result<()> {
        self.observe_call(Operation::Release, self.store.release(lease))
            .await
    }

    async fn watch(
        &self,
        prefix: &StoreKey,
        after: Version,
        wait: Duration,
    ) -> Result<WatchOutcome> {
        let call = self.store.watch(prefix, after, wait);
        self.observe_call(Operation::Watch, call).await
    }
}
