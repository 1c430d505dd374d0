//! Metrics of the lookups of flows.

use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::register::{register, register_histogram};

/// The metrics of lookups. Clones share the values.
#[derive(Clone, Debug)]
pub(super) struct LookupMetrics {
    flows_located: Counter,
    flows_not_located: Counter,
    agents_excluded: Counter,
    locate_time: Histogram,
}

impl LookupMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let mut counter = |name, help| register::<Counter>(registry, name, help);
        Self {
            flows_located: counter("flows_located", "Flows whose agent was found"),
            flows_not_located: counter("flows_not_located", "Flows that no agent holds"),
            agents_excluded: counter(
                "agents_excluded",
                "Agents not awaited by failed lookups, as their records exclude the flow",
            ),
            locate_time: register_histogram(
                registry,
                "locate_time",
                "Time to locate the agent of a flow",
            ),
        }
    }

    /// Counts a lookup that found the agent of a flow.
    pub(super) fn on_located(&self, elapsed: Duration) {
        self.flows_located.inc();
        self.locate_time.observe(elapsed.as_secs_f64());
    }

    /// Counts a lookup without a result, with the number of agents whose records exclude the flow.
    pub(super) fn on_not_located(&self, excluding_agents: usize) {
        self.flows_not_located.inc();
        let excluded = u64::try_from(excluding_agents).unwrap_or(u64::MAX);
        self.agents_excluded.inc_by(excluded);
    }
}
