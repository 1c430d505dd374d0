//! Sampling of a balancer's counters into metrics and log lines, on the control thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_net::config_sync::ConfigSource;
use cranberrypitch_net::control::ControlServer;
use cranberrypitch_net::metrics::{Counter, Gauge, Metrics, Sampler};
use cranberrypitch_proto::control::BalancerEntry;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::BalancerHandle;

/// The sample interval, which equals the flush interval of the metrics.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Samples the counters and gauges of a balancer.
pub(crate) struct BalancerSampler {
    pub(crate) balancer: Arc<BalancerHandle>,
    pub(crate) source: ConfigSource,
    pub(crate) live_balancers: watch::Receiver<Vec<BalancerEntry>>,
    pub(crate) sampler: Sampler,
}

impl BalancerSampler {
    /// Returns the sampler of a balancer.
    pub(crate) fn new(
        balancer: Arc<BalancerHandle>,
        source: ConfigSource,
        live_balancers: watch::Receiver<Vec<BalancerEntry>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            balancer,
            source,
            live_balancers,
            sampler: Sampler::new(metrics),
        }
    }

    /// Samples once per interval until the future is dropped.
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
            (Gauge::BalancersLive, self.live_balancers.borrow().len()),
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
