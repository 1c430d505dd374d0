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

/// Where agents receive tunnel datagrams.
const AGENT_TUNNEL_PORT: u16 = 20_001;

/// The cold start of agents in a stand-in deployment, short enough for tests.
const COLD_START: Duration = Duration::from_millis(200);

/// The stages of a drain in a stand-in deployment, short enough for tests.
const DRAIN: DrainOptions = DrainOptions {
    start_grace: Duration::from_millis(500),
    min_duration: Duration::from_millis(500),
    linger: Duration::from_millis(100),
};

/// What a target VM is started with.
#[derive(Clone, Debug)]
pub(crate) struct TargetSeed {
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
    seed: TargetSeed,
    backend: BackendHandle,
    agent: Option<AgentHandle>,
    past_journal: Vec<JournalEntry>,
}

impl TargetVm {
    pub(crate) async fn start(seed: TargetSeed) -> Result<Self> {
        let backend = start_backend(&seed).await?;
        let agent = start_agent(&seed, backend.address())?;
        Ok(Self {
            seed,
            backend,
            agent: Some(agent),
            past_journal: Vec::new(),
        })
    }

    /// Returns the service.
    pub fn service(&self) -> &ServiceName {
        &self.seed.service.name
    }

    /// Returns the tunnel address of the agent.
    pub fn tunnel_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.seed.ip, AGENT_TUNNEL_PORT)
    }

    /// Returns the agent, if it runs.
    pub fn agent(&self) -> Result<&AgentHandle> {
        self.agent.as_ref().ok_or(Error::NotRunning)
    }

    /// Returns whether the agent runs.
    pub fn is_running(&self) -> bool {
        self.agent.is_some()
    }

    /// Returns whether the agent runs and is not draining.
    pub fn takes_work(&self) -> bool {
        let state = self.agent.as_ref().map(|agent| *agent.state().borrow());
        matches!(state, Some(TargetState::Starting | TargetState::Ready))
    }

    /// Returns whether a balancer's view of a target is this one, in state ready.
    pub(crate) fn is_ready_as(&self, known: &Target) -> bool {
        known.address == self.tunnel_address() && known.state == TargetState::Ready
    }

    /// Returns the backend server.
    pub const fn backend(&self) -> &BackendHandle {
        &self.backend
    }

    /// Returns all that ran at the backend server, in earlier runs as well.
    pub fn journal(&self) -> Vec<JournalEntry> {
        let mut journal = self.past_journal.clone();
        journal.extend(self.backend.journal());
        journal
    }

    /// Stops the agent gracefully. Returns what was cut.
    pub async fn stop(&mut self) -> Result<TargetStatus> {
        let agent = self.agent.take().ok_or(Error::NotRunning)?;
        Ok(agent.stop().await?)
    }

    /// Kills the agent; the backend server runs on.
    pub fn kill_agent(&mut self) {
        if let Some(agent) = self.agent.take() {
            agent.kill();
        }
    }

    /// Kills the agent and starts a backend server and an agent of another service in its place.
    pub(crate) async fn reuse(
        &mut self,
        service: ServiceConfig,
        certificate: Arc<ServiceCertificate>,
        balancers: Vec<BalancerEndpoint>,
    ) -> Result<()> {
        self.kill_agent();
        self.seed.service = service;
        self.seed.certificate = certificate;
        self.past_journal.clear();
        self.backend = start_backend(&self.seed).await?;
        self.start_agent(balancers)
    }

    /// Starts the agent again, as a new incarnation on the same address.
    pub fn start_agent(&mut self, balancers: Vec<BalancerEndpoint>) -> Result<()> {
        self.seed.balancers = balancers;
        self.agent = Some(start_agent(&self.seed, self.backend.address())?);
        Ok(())
    }
}

async fn start_backend(seed: &TargetSeed) -> Result<BackendHandle> {
    let options = BackendOptions::new(seed.seed)
        .slots(seed.service.slots)
        .connections(seed.service.connection_limit)
        .service_time(seed.service_time)
        .reading_interval(seed.reading_interval)
        .feed_epoch(SystemTime::UNIX_EPOCH);
    BackendStandin::spawn(options).await
}

fn start_agent(seed: &TargetSeed, backend: SocketAddr) -> Result<AgentHandle> {
    let identity = AgentIdentity {
        vm: vm_id("target", seed.ip)?,
        failure_domain: seed.failure_domain.clone(),
        service: seed.service.name.clone(),
        tunnel_address: SocketAddrV4::new(seed.ip, AGENT_TUNNEL_PORT),
        incarnation: incarnation_now(),
    };
    let certificate = Certificate::from_pem(
        seed.certificate.pem().as_bytes(),
        seed.certificate.key_pem().as_bytes(),
    )?;
    let admission = AdmissionOptions::builder(seed.service.slots, seed.service.connection_limit)
        .cold_start(ColdStart {
            first_slots: Slots::new(1),
            ramp: COLD_START,
        })
        .build()?;
    let options = AgentOptions::builder(identity, Arc::clone(&seed.keys), certificate, admission)
        .balancers(seed.balancers.clone())
        .transport(seed.transport)
        .drain_deadline(Duration::from_secs(20))
        .drain(DRAIN)
        .build();
    let backend = HttpBackend::new(backend, HttpBackendOptions::default());
    Ok(AgentHandle::spawn(options, backend)?)
}

/// Returns an incarnation that is higher than that of any earlier start.
fn incarnation_now() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
