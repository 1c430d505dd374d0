//! The VM of a backend server and its agent.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cranberrypitch_agent::backend::{HttpBackend, HttpBackendOptions};
use cranberrypitch_agent::{
    AgentHandle, AgentIdentity, AgentOptions, BalancerEndpoint, TargetStatus,
};
use cranberrypitch_core::admission::{AdmissionOptions, ColdStart};
use cranberrypitch_core::config::ServiceConfig;
use cranberrypitch_core::drain::DrainOptions;
use cranberrypitch_core::membership::Target;
use cranberrypitch_core::{FailureDomain, Incarnation, ServiceName, Slots, TargetState};
use cranberrypitch_net::KeyRing;
use cranberrypitch_net::tls::{Certificate, TransportOptions};

use super::vm_id;
use crate::backend::{BackendHandle, BackendOptions, BackendStandin, JournalEntry, ServiceTime};
use crate::certs::ServiceCertificate;
use crate::errors::{Error, Result};

/// The port on which agents receive tunnel datagrams.
const AGENT_TUNNEL_PORT: u16 = 20_001;

/// The cold-start ramp of agents in a stand-in deployment, short for tests.
const COLD_START_RAMP: Duration = Duration::from_millis(200);

/// The drain options of agents in a stand-in deployment, short for tests.
const DRAIN_OPTIONS: DrainOptions = DrainOptions {
    start_grace: Duration::from_millis(500),
    min_duration: Duration::from_millis(500),
    linger: Duration::from_millis(100),
};

/// Options of a target VM.
#[derive(Clone, Debug)]
pub(crate) struct TargetOptions {
    pub(crate) ip: Ipv4Addr,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) certificate: Arc<ServiceCertificate>,
    pub(crate) balancers: Vec<BalancerEndpoint>,
    pub(crate) seed: u64,
    pub(crate) service_time: ServiceTime,
    pub(crate) reading_interval: Duration,
    pub(crate) transport: TransportOptions,
    pub(crate) service: ServiceConfig,
}

/// The VM of a backend server and its agent.
#[derive(Debug)]
pub struct TargetVm {
    options: TargetOptions,
    backend: BackendHandle,
    agent: Option<AgentHandle>,
    earlier_runs: Vec<JournalEntry>,
}

impl TargetVm {
    pub(crate) async fn start(options: TargetOptions) -> Result<Self> {
        let backend = start_backend(&options).await?;
        let agent = start_agent(&options, backend.address())?;
        Ok(Self {
            options,
            backend,
            agent: Some(agent),
            earlier_runs: Vec::new(),
        })
    }

    /// Returns the name of the service.
    pub fn service(&self) -> &ServiceName {
        &self.options.service.name
    }

    /// Returns the tunnel address of the agent.
    pub fn tunnel_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.options.ip, AGENT_TUNNEL_PORT)
    }

    /// Returns the handle of the agent, or [`Error::AgentNotRunning`].
    pub fn agent(&self) -> Result<&AgentHandle> {
        self.agent.as_ref().ok_or(Error::AgentNotRunning)
    }

    /// Returns whether the agent runs.
    pub fn is_agent_running(&self) -> bool {
        self.agent.is_some()
    }

    /// Returns whether the agent is starting or ready.
    pub fn accepts_requests(&self) -> bool {
        let state = self.agent.as_ref().map(|agent| *agent.state().borrow());
        matches!(state, Some(TargetState::Starting | TargetState::Ready))
    }

    /// Returns whether a balancer's entry `known` is for this target, in state ready.
    pub(crate) fn is_ready_in(&self, known: &Target) -> bool {
        known.address == self.tunnel_address() && known.state == TargetState::Ready
    }

    /// Returns the handle of the backend server.
    pub const fn backend(&self) -> &BackendHandle {
        &self.backend
    }

    /// Returns the runs of the service at this VM, in the order in which they started.
    pub fn journal(&self) -> Vec<JournalEntry> {
        let mut journal = self.earlier_runs.clone();
        journal.extend(self.backend.journal());
        journal
    }

    /// Stops the agent gracefully and returns its final status.
    pub async fn stop(&mut self) -> Result<TargetStatus> {
        let agent = self.agent.take().ok_or(Error::AgentNotRunning)?;
        Ok(agent.stop().await?)
    }

    /// Kills the agent. The backend server keeps running.
    pub fn kill_agent(&mut self) {
        if let Some(agent) = self.agent.take() {
            agent.kill();
        }
    }

    /// Kills the agent, and replaces it and the backend server by those of another service.
    pub(crate) async fn reassign(
        &mut self,
        service: ServiceConfig,
        certificate: Arc<ServiceCertificate>,
        balancers: Vec<BalancerEndpoint>,
    ) -> Result<()> {
        self.kill_agent();
        self.options.service = service;
        self.options.certificate = certificate;
        self.earlier_runs.clear();
        self.backend = start_backend(&self.options).await?;
        self.start_agent(balancers)
    }

    /// Starts an agent as a new incarnation on the same address.
    pub fn start_agent(&mut self, balancers: Vec<BalancerEndpoint>) -> Result<()> {
        self.options.balancers = balancers;
        self.agent = Some(start_agent(&self.options, self.backend.address())?);
        Ok(())
    }
}

async fn start_backend(target: &TargetOptions) -> Result<BackendHandle> {
    let options = BackendOptions::new(target.seed)
        .slots(target.service.slots)
        .connection_limit(target.service.connection_limit)
        .service_time(target.service_time)
        .reading_interval(target.reading_interval)
        .feed_epoch(SystemTime::UNIX_EPOCH);
    BackendStandin::spawn(options).await
}

fn start_agent(target: &TargetOptions, backend: SocketAddr) -> Result<AgentHandle> {
    let identity = AgentIdentity {
        vm: vm_id("target", target.ip)?,
        failure_domain: target.failure_domain.clone(),
        service: target.service.name.clone(),
        tunnel_address: SocketAddrV4::new(target.ip, AGENT_TUNNEL_PORT),
        incarnation: incarnation_now(),
    };
    let certificate = Certificate::from_pem(
        target.certificate.pem().as_bytes(),
        target.certificate.key_pem().as_bytes(),
    )?;
    let admission =
        AdmissionOptions::builder(target.service.slots, target.service.connection_limit)
            .cold_start(ColdStart {
                first_slots: Slots::new(1),
                ramp: COLD_START_RAMP,
            })
            .build()?;
    let options = AgentOptions::builder(identity, Arc::clone(&target.keys), certificate, admission)
        .balancers(target.balancers.clone())
        .transport(target.transport)
        .drain_deadline(Duration::from_secs(20))
        .drain(DRAIN_OPTIONS)
        .build();
    let backend = HttpBackend::new(backend, HttpBackendOptions::default());
    Ok(AgentHandle::spawn(options, backend)?)
}

/// Returns the time since the Unix epoch in µs as the incarnation, so that it grows with each start.
fn incarnation_now() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
