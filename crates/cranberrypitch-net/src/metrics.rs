//! Metrics: counters, gauges and timers sent over UDP, and in-memory histograms.

mod catalogue;
mod histograms;
mod sampler;
mod times;

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, StatsdClient};
use cranberrypitch_core::{RequestClass, VmId};

use crate::errors::{Error, Result};
use crate::events::{DropReason, Program};
pub use crate::metrics::catalogue::{CATALOGUE, Counter, Gauge, MetricEntry, Timer, metrics_page};
pub use crate::metrics::histograms::{
    OrganisationTimes, Percentiles, RequestHistograms, RequestTimesSnapshot,
};
pub use crate::metrics::sampler::Sampler;
pub use crate::metrics::times::RequestTimesLog;

/// The prefix of all metric names; the name of the program follows it.
const PREFIX: &str = "cranberrypitch";

/// A client that sends metrics in the `StatsD` format, or discards them.
///
/// Each value takes a lock and is formatted, so counts of traffic threads are accumulated and sent
/// once per interval.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Returns a client that sends to an address, or discards metrics without one. Fails if no UDP
    /// socket can be opened.
    pub fn try_new(address: Option<SocketAddrV4>, program: Program, vm: &VmId) -> Result<Self> {
        let Some(address) = address else {
            return Ok(Self::disabled());
        };
        let sink = sink(address).map_err(|e| Error::metrics(&e))?;
        let prefix = format!("{PREFIX}.{program}");
        // Values that can't be sent are lost; logging an error for each would flood the log.
        let builder = StatsdClient::builder(&prefix, sink).with_error_handler(|_| ());
        let client = builder.with_tag("vm", vm.as_str()).build();
        Ok(Self(Arc::new(client)))
    }

    /// Returns a client that discards all metrics.
    pub fn disabled() -> Self {
        let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
        Self(Arc::new(client))
    }

    /// Adds `count` to a counter.
    pub fn count(&self, counter: Counter, count: u64) {
        self.0.count_with_tags(&counter.to_string(), count).send();
    }

    /// Adds `count` to the counter of datagrams dropped for a reason.
    pub fn count_dropped(&self, reason: DropReason, count: u64) {
        let reason = reason_tag(reason);
        let key = Counter::DatagramsDropped.to_string();
        let metric = self.0.count_with_tags(&key, count);
        metric.with_tag("reason", &reason).send();
    }

    /// Sets a gauge to `value`.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.0.gauge_with_tags(&gauge.to_string(), value).send();
    }

    /// Records a duration.
    pub fn time(&self, timer: Timer, elapsed: Duration) {
        self.0.time_with_tags(&timer.to_string(), elapsed).send();
    }

    /// Records a duration of a request, tagged with its class.
    pub fn time_request(&self, timer: Timer, class: RequestClass, elapsed: Duration) {
        let key = timer.to_string();
        let metric = self.0.time_with_tags(&key, elapsed);
        metric.with_tag("class", &class.to_string()).send();
    }

    /// Sends the buffered metrics. Daemons call this once per second.
    pub fn flush(&self) {
        // Values that can't be sent are lost.
        drop(self.0.flush());
    }
}

/// Returns a reason as a tag value, in which underscores replace spaces.
fn reason_tag(reason: DropReason) -> String {
    reason.to_string().replace(' ', "_")
}

fn sink(address: SocketAddrV4) -> std::result::Result<BufferedUdpMetricSink, cadence::MetricError> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(address, socket)
}
