//! Settings of an agent's decisions.

use std::time::Duration;

/// Settings of an [`Endpoint`](super::Endpoint).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointOptions {
    /// A target without a status report for longer than this gets no new flows, as its address may
    /// serve another service by now.
    pub status_timeout: Duration,
    /// How long after its start an agent trusts its settings for the service of its target.
    pub first_status_timeout: Duration,
    /// The longest life of a flow.
    pub flow_lifetime: Duration,
    /// How long a flow is remembered after its end, for packets that are sent again.
    pub closed_flow_lifetime: Duration,
    /// The time within which a target returns a packet of a flow that it does not hold.
    pub bounce_timeout: Duration,
    /// A request without an answer counts as running for this long at most. Callers have given it up
    /// by then, and a target that never answers must not look busy for ever.
    pub request_timeout: Duration,
    /// How long an opening packet waits for a slot before its caller is told to come back.
    pub backlog_timeout: Duration,
    /// How long a target that said that it is gone may still send packets.
    pub exit_delay: Duration,
    /// How long a balancer gets reports after its last message.
    pub balancer_lifetime: Duration,
    /// The time between two reports to a balancer that opens flows here.
    pub report_interval: Duration,
    /// The time between two reports to any other balancer.
    pub idle_report_interval: Duration,
}

/// Of the time after which an address may be used again, the part that a target may be silent and
/// still get new flows.
const SILENCE_SHARE: f64 = 0.9;

/// The times between two reports that a target may be silent at least, so that a late report is no
/// silence.
const SILENT_INTERVALS: f64 = 1.5;

impl EndpointOptions {
    /// Returns the options with the limits of silence that follow from the time after which an
    /// address may be used again and the time between two status reports.
    #[must_use]
    pub fn with_status_timeouts(self, address_reuse: Duration, status_interval: Duration) -> Self {
        let limit = address_reuse
            .mul_f64(SILENCE_SHARE)
            .max(status_interval.mul_f64(SILENT_INTERVALS));
        Self {
            status_timeout: limit,
            first_status_timeout: limit,
            ..self
        }
    }
}

impl Default for EndpointOptions {
    fn default() -> Self {
        Self {
            status_timeout: Duration::from_millis(1800),
            first_status_timeout: Duration::from_millis(1800),
            flow_lifetime: Duration::from_mins(1),
            closed_flow_lifetime: Duration::from_secs(4),
            bounce_timeout: Duration::from_millis(50),
            request_timeout: Duration::from_secs(10),
            backlog_timeout: Duration::from_millis(400),
            exit_delay: Duration::from_millis(500),
            balancer_lifetime: Duration::from_secs(10),
            report_interval: Duration::from_millis(200),
            idle_report_interval: Duration::from_secs(1),
        }
    }
}
