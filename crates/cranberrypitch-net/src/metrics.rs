//! Metrics: counters, gauges and timers sent over UDP, and histograms kept in memory.

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
pub use crate::metrics::catalogue::{CATALOGUE, Counter, Entry, Gauge, Timer, metrics_page};
pub use crate::metrics::histograms::{Histograms, OrganisationTimes, Percentiles, Snapshot};
pub use crate::metrics::sampler::Sampler;
pub use crate::metrics::times::TimesLog;

/// The prefix of all metric names, followed by the program.
const PREFIX: &str = "cranberrypitch";

/// Sends metrics in the `StatsD` format, or nowhere.
///
/// Each value costs a lock and some formatting, so traffic threads add up their counts and send
/// them once per interval.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Returns metrics that are sent to an address, or nowhere without one.
    pub fn try_new(address: Option<SocketAddrV4>, program: Program, vm: &VmId) -> Result<Self> {
        let Some(address) = address else {
            return Ok(Self::none());
        };
        let sink = sink(address).map_err(|e| Error::metrics(&e))?;
        let prefix = format!("{PREFIX}.{program}");
        // Metrics that can't be sent are lost: an error per value would flood the log.
        let builder = StatsdClient::builder(&prefix, sink).with_error_handler(|_| ());
        let client = builder.with_tag("vm", vm.as_str()).build();
        Ok(Self(Arc::new(client)))
    }

    /// Returns metrics that are sent nowhere.
    pub fn none() -> Self {
        let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
        Self(Arc::new(client))
    }

    /// Adds to a counter.
    pub fn count(&self, counter: Counter, count: u64) {
        self.0.count_with_tags(&counter.to_string(), count).send();
    }

    /// Adds to the counter of dropped datagrams of a reason.
    pub fn count_dropped(&self, reason: DropReason, count: u64) {
        let reason = reason_tag(reason);
        let key = Counter::DatagramsDropped.to_string();
        let metric = self.0.count_with_tags(&key, count);
        metric.with_tag("reason", &reason).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.0.gauge_with_tags(&gauge.to_string(), value).send();
    }

    /// Records a time.
    pub fn time(&self, timer: Timer, elapsed: Duration) {
        self.0.time_with_tags(&timer.to_string(), elapsed).send();
    }

    /// Records a time of a request.
    pub fn time_request(&self, timer: Timer, class: RequestClass, elapsed: Duration) {
        let key = timer.to_string();
        let metric = self.0.time_with_tags(&key, elapsed);
        metric.with_tag("class", &class.to_string()).send();
    }

    /// Sends what is buffered. A daemon calls this once per interval.
    pub fn flush(&self) {
        // As with single values, metrics that can't be sent are lost.
        drop(self.0.flush());
    }
}

/// Returns a reason as the value of a tag, which may not contain spaces.
fn reason_tag(reason: DropReason) -> String {
    reason.to_string().replace(' ', "_")
}

fn sink(address: SocketAddrV4) -> std::result::Result<BufferedUdpMetricSink, cadence::MetricError> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(address, socket)
}
