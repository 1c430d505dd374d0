//! Metrics of the targets that a balancer knows.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::register::register;

/// The numbers of targets. Clones share the values.
#[derive(Clone, Debug)]
pub(super) struct TargetMetrics {
    agents: Gauge,
    ejected: Gauge,
}

impl TargetMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let mut gauge = |name, help| register::<Gauge>(registry, name, help);
        Self {
            agents: gauge("agents", "Agents in the directory of the balancer"),
            ejected: gauge(
                "ejected_targets",
                "Targets that get no new flows of the balancer, or one at a time, because they fail or are slow",
            ),
        }
    }

    pub(super) fn set_agents(&self, count: usize) {
        self.agents.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(super) fn set_ejected(&self, count: usize) {
        self.ejected.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
