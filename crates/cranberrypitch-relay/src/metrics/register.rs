//! Registration of metrics.

use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry, Unit};

/// Upper bounds of the histogram buckets, in seconds; latency objectives lie between 0.1 and 1 s.
const TIME_BUCKETS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Registers a histogram of times in seconds.
pub(super) fn register_histogram(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let histogram = Histogram::new(TIME_BUCKETS_S);
    registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
    histogram
}

/// Registers a metric that starts at zero.
pub(super) fn register<M: Metric + Clone + Default>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}
