//! Log lines and metrics of the balancer, made on the control thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_net::config_sync::ConfigSource;
use cranberrypitch_net::control::ControlServer;
use cranberrypitch_net::metrics::{Counter, Gauge, Metrics, Sampler};
use cranberrypitch_proto::control::BalancerEntry;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::BalancerHandle;

/// The time between two samples, which is that between two flushes of the metrics.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Samples a balancer.
pub(crate) struct Observer {
    pub(crate) balancer: Arc<BalancerHandle>,
    pub(crate) source: ConfigSource,
    pub(crate) listed: watch::Receiver<Vec<BalancerEntry>>,
    pub(crate) sampler: Sampler,
}

impl Observer {
    /// Returns the observer of a balancer.
    pub(crate) fn new(
        balancer: Arc<BalancerHandle>,
        source: ConfigSource,
        listed: watch::Receiver<Vec<BalancerEntry>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            balancer,
            source,
            listed,
            sampler: Sampler::new(metrics),
        }
    }

    /// Samples until it is dropped.
    pub(crate) async fn run(mut self, control: &ControlServer) {
        let mut ticks = interval(SAMPLE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.sample(control);
        }
    }

    fn sample(&mut self, control: &ControlServer) {
        let counters = self.balancer.counters();
        let totals = [
            (Counter::DatagramsForwarded, counters.forwarded()),
            (Counter::DatagramsReturned, counters.returned()),
            (Counter::FlowsPlaced, counters.placed()),
            (Counter::FlowsPassedOn, counters.passed_on()),
            (Counter::Reports, counters.reports()),
        ];
        for (counter, total) in totals {
            self.sampler.count(counter, total);
        }
        for event in self
            .sampler
            .count_dropped(counters.dropped(), Instant::now())
        {
            event.log();
        }
        let gauges = [
            (Gauge::TargetsReady, self.balancer.ready_target_count()),
            (Gauge::BalancersLive, self.listed.borrow().len()),
            (Gauge::ControlSessions, control.session_count()),
        ];
        let metrics = self.sampler.metrics();
        for (gauge, value) in gauges {
            metrics.gauge(gauge, value as u64);
        }
        let revision = self.source.revision().get();
        metrics.gauge(Gauge::ConfigurationRevision, revision);
    }
}
