//! Counters of flow openings.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use super::register::register;

/// The counters of flow openings and of their outcomes. Clones share the values.
#[derive(Clone, Debug)]
pub(super) struct OpeningMetrics {
    pub(super) placed: Counter,
    pub(super) refused: Counter,
    pub(super) warmup_limited: Counter,
    pub(super) unanswered: Counter,
}

impl OpeningMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let mut counter = |name, help| register::<Counter>(registry, name, help);
        Self {
            placed: counter("flows_placed", "Flow openings sent to an agent"),
            refused: counter("flows_refused", "Flow openings refused by an agent"),
            warmup_limited: counter(
                "openings_warmup_limited",
                "Flow openings declined or queued by an agent because its target is slow after its start",
            ),
            unanswered: counter(
                "openings_unanswered",
                "Flow openings not answered before the timeout",
            ),
        }
    }
}
