//! The options of an agent.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::admission::AdmissionOptions;
use cranberrypitch_core::drain::DrainOptions;
use cranberrypitch_core::health::HealthOptions;
use cranberrypitch_core::orders::TicketTableOptions;
use cranberrypitch_core::{Clock, FailureDomain, Incarnation, ServiceName, SystemClock, VmId};
use cranberrypitch_net::tls::{Certificate, TransportOptions};
use cranberrypitch_net::{KeyRing, Metrics};

use crate::return_path::BalancerEndpoint;

/// The identity of an agent.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    /// The VM of the agent and its backend server.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The service of the backend server.
    pub service: ServiceName,
    /// The UDP address at which the agent receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
    /// The number of this run, which must be higher than that of any earlier run at the address.
    pub incarnation: Incarnation,
}

/// The options of an agent.
#[derive(Debug)]
pub struct AgentOptions {
    pub(crate) identity: AgentIdentity,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) certificate: Certificate,
    pub(crate) admission: AdmissionOptions,
    pub(crate) tickets: TicketTableOptions,
    pub(crate) transport: TransportOptions,
    pub(crate) token_lifetime: Duration,
    pub(crate) drain_deadline: Duration,
    pub(crate) drain: DrainOptions,
    pub(crate) health: HealthOptions,
    pub(crate) response_timeout: Duration,
    pub(crate) report_interval: Duration,
    pub(crate) balancers: Vec<BalancerEndpoint>,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Arc<dyn Clock>,
}

impl AgentOptions {
    /// Returns a builder with the required options, and defaults for all others.
    pub fn builder(
        identity: AgentIdentity,
        keys: Arc<KeyRing>,
        certificate: Certificate,
        admission: AdmissionOptions,
    ) -> AgentOptionsBuilder {
        AgentOptionsBuilder {
            options: Self {
                identity,
                keys,
                certificate,
                admission,
                tickets: TicketTableOptions::default(),
                transport: TransportOptions::default(),
                token_lifetime: Duration::from_mins(10),
                drain_deadline: Duration::from_mins(10),
                drain: DrainOptions::default(),
                health: HealthOptions::default(),
                response_timeout: Duration::from_mins(2),
                report_interval: Duration::from_secs(1),
                balancers: Vec::new(),
                metrics: Metrics::disabled(),
                clock: Arc::new(SystemClock),
            },
        }
    }
}

/// A builder of [`AgentOptions`].
#[derive(Debug)]
#[must_use]
pub struct AgentOptionsBuilder {
    options: AgentOptions,
}

impl AgentOptionsBuilder {
    /// Sets the limits on stored order tickets.
    pub const fn tickets(mut self, tickets: TicketTableOptions) -> Self {
        self.options.tickets = tickets;
        self
    }

    /// Sets the timeouts of callers' QUIC connections.
    pub const fn transport(mut self, transport: TransportOptions) -> Self {
        self.options.transport = transport;
        self
    }

    /// Sets how long a connection ID is used. A replaced key must stay valid for longer than this,
    /// because long-lived connections use IDs that were signed with it.
    pub const fn token_lifetime(mut self, lifetime: Duration) -> Self {
        self.options.token_lifetime = lifetime;
        self
    }

    /// Sets how long a drain waits for running requests and open feeds.
    pub const fn drain_deadline(mut self, deadline: Duration) -> Self {
        self.options.drain_deadline = deadline;
        self
    }

    /// Sets the delays of the stages of a drain.
    pub const fn drain(mut self, drain: DrainOptions) -> Self {
        self.options.drain = drain;
        self
    }

    /// Sets the thresholds of the health checks of the backend server.
    pub const fn health(mut self, health: HealthOptions) -> Self {
        self.options.health = health;
        self
    }

    /// Sets how long the backend server may take for a complete response.
    pub const fn response_timeout(mut self, timeout: Duration) -> Self {
        self.options.response_timeout = timeout;
        self
    }

    /// Sets the interval of load reports while the target is idle and its state unchanged.
    pub const fn report_interval(mut self, interval: Duration) -> Self {
        self.options.report_interval = interval;
        self
    }

    /// Sets the initial balancers.
    pub fn balancers(mut self, balancers: Vec<BalancerEndpoint>) -> Self {
        self.options.balancers = balancers;
        self
    }

    /// Sets the metrics exporter. By default no metrics are sent.
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.options.metrics = metrics;
        self
    }

    /// Sets the clock, which is the system clock by default.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.options.clock = clock;
        self
    }

    /// Builds the options.
    pub fn build(self) -> AgentOptions {
        self.options
    }
}
