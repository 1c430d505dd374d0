//! Timeouts and intervals of an agent.

use std::time::Duration;

/// Settings of an [`FlowAgent`](super::FlowAgent).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowAgentOptions {
    /// The time after its last status report for which a target gets new flows. After that its address
    /// may belong to another service.
    pub status_timeout: Duration,
    /// The time between two status reports of a target.
    pub status_interval: Duration,
    /// The time that an agent waits for the first status report after its start. Until then it assumes
    /// that the target serves the service in the settings.
    pub first_status_timeout: Duration,
    /// The maximum lifetime of a flow; a flow is removed after this time without packets.
    pub flow_lifetime: Duration,
    /// The time for which a closed or unaccepted flow is kept after its last packet, for
    /// retransmissions.
    pub closed_flow_lifetime: Duration,
    /// The time after which a flow is presumed to be held by a target that has not returned its packets.
    pub bounce_timeout: Duration,
    /// The time after which a request without a response no longer counts as running. Callers have given
    /// up by then, and a target that never responds would otherwise look busy forever.
    pub request_timeout: Duration,
    /// The lower bound of the maximum wait of a SYN. Routes with a long timeout allow more; see
    /// [`RequestLimits`](crate::flow::RequestLimits).
    pub min_syn_wait: Duration,
    /// The time for which a target still gets packets of its flows after it announced its exit.
    pub exit_delay: Duration,
    /// The time after its last message for which a balancer gets reports.
    pub balancer_lifetime: Duration,
    /// The time between two reports to a balancer that has recently opened flows at this agent.
    pub report_interval: Duration,
    /// The time between two reports to any other balancer.
    pub idle_report_interval: Duration,
}

/// The status timeout as a fraction of the time after which an address may be reused.
const ADDRESS_REUSE_FRACTION: f64 = 0.9;

/// The minimum status timeout in report intervals, so that a late report does not cause a timeout.
const MIN_TIMEOUT_INTERVALS: f64 = 1.5;

impl FlowAgentOptions {
    /// Returns the options with status timeouts that fit the time after which an address may be reused
    /// and the time between two status reports.
    #[must_use]
    pub fn with_status_timeouts(self, address_reuse: Duration, status_interval: Duration) -> Self {
        let timeout = address_reuse
            .mul_f64(ADDRESS_REUSE_FRACTION)
            .max(status_interval.mul_f64(MIN_TIMEOUT_INTERVALS));
        Self {
            status_timeout: timeout,
            status_interval,
            first_status_timeout: timeout,
            ..self
        }
    }
}

impl Default for FlowAgentOptions {
    fn default() -> Self {
        Self {
            status_timeout: Duration::from_millis(1800),
            status_interval: Duration::from_millis(800),
            first_status_timeout: Duration::from_millis(1800),
            flow_lifetime: Duration::from_mins(1),
            closed_flow_lifetime: Duration::from_secs(4),
            bounce_timeout: Duration::from_millis(50),
            request_timeout: Duration::from_secs(10),
            min_syn_wait: Duration::from_millis(400),
            exit_delay: Duration::from_millis(500),
            balancer_lifetime: Duration::from_secs(10),
            report_interval: Duration::from_millis(200),
            idle_report_interval: Duration::from_secs(1),
        }
    }
}
