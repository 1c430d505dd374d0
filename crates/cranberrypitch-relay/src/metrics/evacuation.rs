//! Metrics of the evacuation of failure domains.

use cranberrypitch_core::flow::RefusalCause;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::register::register;

/// The metrics of evacuations. Clones share the values.
#[derive(Clone, Debug)]
pub(super) struct EvacuationMetrics {
    flows_refused: Counter,
    domains: Gauge,
}

impl EvacuationMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let help = "Flow openings refused by an agent because its failure domain is evacuated";
        let flows_refused = register(registry, "flows_refused_evacuated", help);
        let help = "Failure domains whose evacuation is in force at the balancer";
        let domains = register(registry, "evacuated_domains", help);
        Self {
            flows_refused,
            domains,
        }
    }

    pub(super) fn on_refusal(&self, cause: RefusalCause) {
        if cause == RefusalCause::Evacuated {
            self.flows_refused.inc();
        }
    }

    pub(super) fn set_domains(&self, count: usize) {
        self.domains.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
