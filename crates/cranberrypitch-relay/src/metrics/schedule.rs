//! Metrics of the requests at an agent and its target.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::register::register;

/// The metrics of requests that run at the target or wait at its agent.
#[derive(Clone, Debug)]
pub(super) struct ScheduleMetrics {
    requests_running: Gauge,
    requests_waiting: Gauge,
    pub(super) requests_timed_out: Counter,
    pub(super) flows_refused_overloaded: Counter,
}

impl ScheduleMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            requests_running: register(
                registry,
                "requests_running",
                "Requests running at the target",
            ),
            requests_waiting: register(
                registry,
                "requests_waiting",
                "Flow openings and requests of open flows that wait at the agent",
            ),
            requests_timed_out: register(
                registry,
                "requests_timed_out",
                "Requests of open flows dropped because their timeout would end before a response",
            ),
            flows_refused_overloaded: register(
                registry,
                "flows_refused_overloaded",
                "Flow openings refused because the wait at the agent would be too long",
            ),
        }
    }

    pub(super) fn set_requests(&self, running: u16, waiting: usize) {
        self.requests_running.set(i64::from(running));
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.requests_waiting.set(waiting);
    }
}
