//! A store whose outages are logged and whose calls are measured.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::events::Event;
use crate::metrics::{Counter, Metrics, Timer};
use crate::store::{
    Entry, Error, LeaseId, Listing, Put, Result, Store, StoreKey, Version, Watched,
};

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
    pub fn observe<S: Store>(&self, store: S) -> ObservedStore<S> {
        let monitor = self.clone();
        ObservedStore { store, monitor }
    }

    fn take_in<T>(&self, result: &Result<T>) {
        self.metrics.count(Counter::StoreCalls, 1);
        match result {
            Err(error @ (Error::Unavailable { .. } | Error::OutcomeUnknown { .. })) => {
                self.metrics.count(Counter::StoreErrors, 1);
                self.note_down(error);
            }
            _ => self.note_up(),
        }
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

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A store whose calls are observed.
#[derive(Debug)]
pub struct ObservedStore<S> {
    store: S,
    monitor: StoreMonitor,
}

impl<S: Store> ObservedStore<S> {
    async fn timed<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        let since = Instant::now();
        let result = call.await;
        self.monitor.metrics.time(Timer::StoreCall, since.elapsed());
        self.monitor.take_in(&result);
        result
    }
}

impl<S: Store> Store for ObservedStore<S> {
    async fn get(&self, key: &StoreKey) -> Result<Option<Entry>> {
        self.timed(self.store.get(key)).await
    }

    async fn put(&self, put: Put) -> Result<Version> {
        self.timed(self.store.put(put)).await
    }

    async fn delete(&self, key: &StoreKey, version: Version) -> Result<()> {
        self.timed(self.store.delete(key, version)).await
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Listing> {
        self.timed(self.store.list(prefix)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.timed(self.store.grant(ttl)).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.timed(self.store.renew(lease)).await
    }

    async fn release(&self, lease: LeaseId) -> Result<()> {
        self.timed(self.store.release(lease)).await
    }

    async fn watch(&self, prefix: &StoreKey, after: Version, wait: Duration) -> Result<Watched> {
        let result = self.store.watch(prefix, after, wait).await;
        self.monitor.take_in(&result);
        result
    }
}
