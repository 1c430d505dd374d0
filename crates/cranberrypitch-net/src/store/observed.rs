//! A store whose outages are logged and whose calls are measured.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::events::Event;
use crate::metrics::{Counter, Metrics, Timer};
use crate::store::{
    Entry, Error, LeaseId, Listing, Operation, Put, Result, Store, StoreKey, Version, WatchOutcome,
};

/// Is told of the calls to a store.
pub trait StoreObserver: Send + Sync + 'static {
    /// Notes a call that ended, and how long it took.
    fn on_call(
        &self,
        operation: Operation,
        outcome: std::result::Result<(), &Error>,
        elapsed: Duration,
    );
}

/// What the stores of one process share: whether the service answers, and the metrics.
#[derive(Clone, Debug)]
pub struct StoreMonitor {
    address: SocketAddrV4,
    metrics: Metrics,
    down_since: Arc<Mutex<Option<Instant>>>,
}

impl StoreMonitor {
    /// Returns the monitor of the service at an address.
    pub fn new(address: SocketAddrV4, metrics: Metrics) -> Self {
        Self {
            address,
            metrics,
            down_since: Arc::default(),
        }
    }

    /// Returns a store whose calls are observed.
    pub fn observe<S: Store>(&self, store: S) -> ObservedStore<S, Self> {
        ObservedStore::new(store, self.clone())
    }

    fn note_down(&self, error: &Error) {
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

    fn note_up(&self) {
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
        // A watch takes as long as nothing changes.
        if operation != Operation::Watch {
            self.metrics.time(Timer::StoreCall, elapsed);
        }
        self.metrics.count(Counter::StoreCalls, 1);
        match outcome {
            Err(error @ (Error::Unavailable { .. } | Error::OutcomeUnknown { .. })) => {
                self.metrics.count(Counter::StoreErrors, 1);
                self.note_down(error);
            }
            _ => self.note_up(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A store whose calls are observed.
#[derive(Debug)]
pub struct ObservedStore<S, O> {
    store: S,
    observer: O,
}

impl<S: Store, O: StoreObserver> ObservedStore<S, O> {
    /// Returns a store that tells an observer of each call.
    pub const fn new(store: S, observer: O) -> Self {
        Self { store, observer }
    }

    async fn observed<T>(
        &self,
        operation: Operation,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let since = Instant::now();
        let result = call.await;
        let outcome = result.as_ref().map(|_| ());
        self.observer.on_call(operation, outcome, since.elapsed());
        result
    }
}

impl<S: Store, O: StoreObserver> Store for ObservedStore<S, O> {
    async fn get(&self, key: &StoreKey) -> Result<Option<Entry>> {
        self.observed(Operation::Get, self.store.get(key)).await
    }

    async fn put(&self, put: Put) -> Result<Version> {
        self.observed(Operation::Put, self.store.put(put)).await
    }

    async fn delete(&self, key: &StoreKey, version: Version) -> Result<()> {
        let call = self.store.delete(key, version);
        self.observed(Operation::Delete, call).await
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Listing> {
        self.observed(Operation::List, self.store.list(prefix))
            .await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.observed(Operation::Grant, self.store.grant(ttl)).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.observed(Operation::Renew, self.store.renew(lease))
            .await
    }

    async fn release(&self, lease: LeaseId) -> Result<()> {
        self.observed(Operation::Release, self.store.release(lease))
            .await
    }

    async fn watch(
        &self,
        prefix: &StoreKey,
        after: Version,
        wait: Duration,
    ) -> Result<WatchOutcome> {
        let call = self.store.watch(prefix, after, wait);
        self.observed(Operation::Watch, call).await
    }
}
