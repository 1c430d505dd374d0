//! What an agent is started with.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::admission::AdmissionOptions;
use cranberrypitch_core::drain::DrainOptions;
use cranberrypitch_core::health::HealthOptions;
use cranberrypitch_core::orders::TicketBookOptions;
use cranberrypitch_core::{Clock, FailureDomain, Incarnation, ServiceName, SystemClock, VmId};
use cranberrypitch_net::tls::{Certificate, TransportOptions};
use cranberrypitch_net::{KeyRing, Metrics};

use crate::returns::BalancerEndpoint;

/// Who an agent is.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    /// The VM of the agent and its backend server.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The service that the backend server serves.
    pub service: ServiceName,
    /// Where the agent receives tunnel datagrams.
    pub tunnel_address: SocketAddrV4,
    /// The number of this run; it must be higher than that of any earlier run on the address.
    pub incarnation: Incarnation,
}

/// What an agent is started with.
#[derive(Debug)]
pub struct AgentOptions {
    pub(crate) identity: AgentIdentity,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) certificate: Certificate,
    pub(crate) admission: AdmissionOptions,
    pub(crate) tickets: TicketBookOptions,
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
    /// Returns a builder with what every agent needs and defaults for the rest.
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
                tickets: TicketBookOptions::default(),
                transport: TransportOptions::default(),
                token_lifetime: Duration::from_mins(10),
                drain_deadline: Duration::from_mins(10),
                drain: DrainOptions::default(),
                health: HealthOptions::default(),
                response_timeout: Duration::from_mins(2),
                report_interval: Duration::from_secs(1),
                balancers: Vec::new(),
                metrics: Metrics::none(),
                clock: Arc::new(SystemClock),
            },
        }
    }
}

/// Collects the options of an agent.
#[derive(Debug)]
#[must_use]
pub struct AgentOptionsBuilder {
    options: AgentOptions,
}

impl AgentOptionsBuilder {
    /// Sets the limits of the ticket book.
    pub const fn tickets(mut self, tickets: TicketBookOptions) -> Self {
        self.options.tickets = tickets;
        self
    }

    /// Sets the timeouts of callers' connections.
    pub const fn transport(mut self, transport: TransportOptions) -> Self {
        self.options.transport = transport;
        self
    }

    /// Sets how long a connection id is used. A key must stay valid for longer than this after
    /// it was replaced, as long flows carry ids that were signed with it.
    pub const fn token_lifetime(mut self, lifetime: Duration) -> Self {
        self.options.token_lifetime = lifetime;
        self
    }

    /// Sets how long a drain waits for running requests and feeds.
    pub const fn drain_deadline(mut self, deadline: Duration) -> Self {
        self.options.drain_deadline = deadline;
        self
    }

    /// Sets the stages of a drain.
    pub const fn drain(mut self, drain: DrainOptions) -> Self {
        self.options.drain = drain;
        self
    }

    /// Sets how the backend server is judged.
    pub const fn health(mut self, health: HealthOptions) -> Self {
        self.options.health = health;
        self
    }

    /// Sets how long the backend server may take for a whole answer.
    pub const fn response_timeout(mut self, timeout: Duration) -> Self {
        self.options.response_timeout = timeout;
        self
    }

    /// Sets the time between reports while the target is idle and unchanged.
    pub const fn report_interval(mut self, interval: Duration) -> Self {
        self.options.report_interval = interval;
        self
    }

    /// Sets the balancers known at the start.
    pub fn balancers(mut self, balancers: Vec<BalancerEndpoint>) -> Self {
        self.options.balancers = balancers;
        self
    }

    /// Sets where metrics are sent; without it, nowhere.
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.options.metrics = metrics;
        self
    }

    /// Sets the clock.
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.options.clock = clock;
        self
    }

    /// Returns the options.
    pub fn build(self) -> AgentOptions {
        self.options
    }
}
