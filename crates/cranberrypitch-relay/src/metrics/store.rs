//! Metrics of the calls to the store.

use std::sync::atomic::Ordering;
use std::time::Duration;

use cranberrypitch_net::store::{Epoch, EpochTracker, Error as StoreError, Operation};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::register::{register, register_histogram};
use crate::log;

/// The labels of the counter of store calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    operation: String,
    outcome: &'static str,
}

impl StoreCallLabels {
    fn new(operation: Operation, outcome: Result<(), &StoreError>) -> Self {
        let outcome = match outcome {
            Ok(()) => "ok",
            Err(StoreError::Unavailable { .. }) => "unavailable",
            Err(StoreError::IncompleteResponse { .. }) => "incomplete",
            Err(StoreError::OutcomeUnknown { .. }) => "unknown",
            Err(StoreError::Conflict { .. }) => "conflict",
            Err(StoreError::LeaseLapsed { .. }) => "lapsed",
            Err(StoreError::EpochEnded(_)) => "epoch_ended",
            Err(_) => "refused",
        };
        Self {
            operation: operation.to_string().to_lowercase(),
            outcome,
        }
    }
}

/// The metrics of the calls to the store. Clones share the values.
#[derive(Clone, Debug)]
pub(super) struct StoreMetrics {
    calls: Family<StoreCallLabels, Counter>,
    call_time: Histogram,
    malformed_items: Counter,
    epoch: Gauge,
    epochs: EpochTracker,
}

impl StoreMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let help = "Epoch of the store, which rises when it is restored from a copy";
        let epoch = register(registry, "store_epoch", help);
        let help = "Duration of calls to the store, except watches";
        let call_time = register_histogram(registry, "store_call_time", help);
        let help = "Items in answers of the store that were left out as malformed";
        let malformed_items = register(registry, "store_malformed_items", help);
        let help = "Calls to the store by operation and outcome";
        let calls = register(registry, "store_calls", help);
        Self {
            calls,
            call_time,
            malformed_items,
            epoch,
            epochs: EpochTracker::default(),
        }
    }

    pub(super) fn on_call(
        &self,
        operation: Operation,
        outcome: Result<(), &StoreError>,
        elapsed: Duration,
    ) {
        // The duration of a watch depends on the time of the next change, not on the store.
        if operation != Operation::Watch {
            self.call_time.observe(elapsed.as_secs_f64());
        }
        let labels = StoreCallLabels::new(operation, outcome);
        self.calls.get_or_create(&labels).inc();
    }

    /// Records the number of malformed items so far. Calls run concurrently, so an earlier number may come
    /// late.
    pub(super) fn on_malformed_items(&self, total: u64) {
        self.malformed_items
            .inner()
            .fetch_max(total, Ordering::Relaxed);
    }

    /// Records the newest epoch in the answers of the store, and logs a restoration.
    pub(super) fn on_epoch(&self, epoch: Epoch) {
        self.epoch
            .set(i64::try_from(epoch.get()).unwrap_or(i64::MAX));
        if let Some(previous) = self.epochs.observe(epoch) {
            tracing::warn!(target: log::TARGET, event = "StoreRestored", %epoch, %previous);
        }
    }
}
