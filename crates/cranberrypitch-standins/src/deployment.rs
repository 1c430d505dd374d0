//! A complete deployment on loopback in one process, for tests and the demo: fabric, balancers,
//! agents and backend servers.
//!
//! Each VM has its own IP in a subnet of 127.0.0.0/8, so that several deployments can run
//! concurrently.

mod ip;
mod target;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_agent::BalancerEndpoint;
use cranberrypitch_balancer::{BalancerHandle, BalancerIdentity, BalancerOptions, ServiceAddress};
use cranberrypitch_caller::{Caller, ServiceEndpoint};
use cranberrypitch_core::config::{ConfigText, ServiceConfig};
use cranberrypitch_core::{FailureDomain, KeyGeneration, Revision, ServiceName, VmId};
use cranberrypitch_net::KeyRing;
use cranberrypitch_net::tls::{self, RootCertificates, TransportOptions};
use cranberrypitch_proto::report::BalancerHint;

pub use self::ip::Subnet;
use self::target::TargetOptions;
pub use self::target::TargetVm;
use crate::backend::ServiceTime;
use crate::certs::CertificateAuthority;
use crate::errors::{Error, Result};
use crate::fabric::{Fabric, FabricHandle, FabricOptions, LinkOptions};

/// The port on which balancers receive tunnel datagrams.
const BALANCER_TUNNEL_PORT: u16 = 20_000;

/// The timeout for a connection of a caller.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    text: ConfigText,
    targets: Vec<(ServiceName, usize)>,
    balancers: usize,
    seed: u64,
    to_balancers: LinkOptions,
    to_callers: LinkOptions,
    service_time: ServiceTime,
    reading_interval: Duration,
    transport: TransportOptions,
}

impl DeploymentOptions {
    /// Returns the options of a deployment with three balancers and no targets.
    pub fn new(text: ConfigText, seed: u64) -> Self {
        Self {
            text,
            targets: Vec::new(),
            balancers: 3,
            seed,
            to_balancers: LinkOptions::default(),
            to_callers: LinkOptions::default(),
            service_time: ServiceTime::Fixed(Duration::from_millis(20)),
            reading_interval: Duration::from_millis(50),
            transport: TransportOptions::default(),
        }
    }

    /// Sets the number of targets of a service.
    #[must_use]
    pub fn targets(mut self, service: ServiceName, count: usize) -> Self {
        self.targets.push((service, count));
        self
    }

    /// Sets the number of balancers.
    #[must_use]
    pub const fn balancers(mut self, count: usize) -> Self {
        self.balancers = count;
        self
    }

    /// Sets the properties of the links between callers and balancers, in both directions.
    #[must_use]
    pub const fn links(mut self, to_balancers: LinkOptions, to_callers: LinkOptions) -> Self {
        self.to_balancers = to_balancers;
        self.to_callers = to_callers;
        self
    }

    /// Sets the service time at the backend servers.
    #[must_use]
    pub const fn service_time(mut self, service_time: ServiceTime) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets the time between consecutive readings of a feed.
    #[must_use]
    pub const fn reading_interval(mut self, interval: Duration) -> Self {
        self.reading_interval = interval;
        self
    }

    /// Sets the transport options of callers and agents.
    #[must_use]
    pub const fn transport(mut self, transport: TransportOptions) -> Self {
        self.transport = transport;
        self
    }
}

/// A running balancer VM.
#[derive(Debug)]
pub struct BalancerVm {
    /// The IP of the VM.
    pub ip: Ipv4Addr,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The handle of the balancer on the VM.
    pub handle: BalancerHandle,
}

impl BalancerVm {
    fn hint(&self) -> BalancerHint {
        BalancerHint {
            tunnel_address: SocketAddrV4::new(self.ip, BALANCER_TUNNEL_PORT),
            control_address: None,
            failure_domain: self.failure_domain.clone(),
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    options: DeploymentOptions,
    subnet: Subnet,
    keys: Arc<KeyRing>,
    certificate_authority: CertificateAuthority,
    fabric: FabricHandle,
    balancers: Vec<BalancerVm>,
    targets: Vec<TargetVm>,
    services: Vec<ServiceAddress>,
    revision: Revision,
}

impl Deployment {
    /// Starts a deployment on the current tokio runtime and waits until its targets are ready.
    ///
    /// Returns [`Error::DeploymentNotReady`] if they are not ready within 10 s.
    pub async fn start(options: DeploymentOptions) -> Result<Self> {
        let mut subnet = Subnet::claim();
        let public_ip = subnet.next_ip();
        let secret = [options.seed.to_be_bytes(); 4].concat();
        let secret = secret.try_into().unwrap_or([0; 32]);
        let keys = Arc::new(KeyRing::from_secret(KeyGeneration::new(1), &secret));
        let certificate_authority = CertificateAuthority::try_new()?;
        let services: Vec<_> = options
            .text
            .services
            .iter()
            .flat_map(|service| {
                let at_public_ip = move |a: &SocketAddrV4| SocketAddrV4::new(public_ip, a.port());
                service
                    .addresses
                    .iter()
                    .map(at_public_ip)
                    .map(|address| ServiceAddress {
                        address,
                        service: service.tag(),
                    })
            })
            .collect();
        let mut fabric = FabricOptions::new(options.seed)
            .to_balancers(options.to_balancers)
            .to_callers(options.to_callers);
        for service in &services {
            fabric = fabric.service(service.address, service.address.port());
        }
        let mut deployment = Self {
            fabric: Fabric::spawn(fabric).await?,
            subnet,
            keys,
            certificate_authority,
            balancers: Vec::new(),
            targets: Vec::new(),
            services,
            revision: Revision::new(1),
            options,
        };
        for _ in 0..deployment.options.balancers {
            deployment.add_balancer().await?;
        }
        for (service, count) in deployment.options.targets.clone() {
            for _ in 0..count {
                deployment.add_target(&service).await?;
            }
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Adds a balancer and announces it to the fabric and to all balancers.
    pub async fn add_balancer(&mut self) -> Result<()> {
        let ip = self.subnet.next_ip();
        let number = self.balancers.len();
        let failure_domain = self.domain_for(number);
        let identity = BalancerIdentity {
            vm: vm_id("balancer", ip)?,
            failure_domain: failure_domain.clone(),
            tunnel_address: SocketAddrV4::new(ip, BALANCER_TUNNEL_PORT),
        };
        let options = BalancerOptions::builder(identity, Arc::clone(&self.keys))
            .service_ip(ip)
            .linger(Duration::from_millis(300))
            .build();
        let handle = BalancerHandle::spawn(options)?;
        handle.set_services(&self.services, self.revision).await?;
        self.balancers.push(BalancerVm {
            ip,
            failure_domain,
            handle,
        });
        self.announce_balancers().await
    }

    /// Replaces the balancer at `index` as a planned change: starts a new one, removes the old one
    /// from the fabric and shuts it down gracefully.
    pub async fn replace_balancer(&mut self, index: usize) -> Result<()> {
        self.add_balancer().await?;
        self.wait_until_ready().await?;
        let old_balancer = self.balancers.swap_remove(index);
        self.update_fabric_balancers();
        old_balancer.handle.shutdown().await?;
        Ok(())
    }

    /// Kills the balancer at `index`. It stays live in the fabric until
    /// [`Self::update_fabric_balancers`] is called.
    pub fn kill_balancer(&mut self, index: usize) {
        self.balancers.swap_remove(index).handle.kill();
    }

    /// Sets the running balancers as the live ones of the fabric.
    pub fn update_fabric_balancers(&self) {
        let live: Vec<_> = self.balancers.iter().map(|b| b.ip).collect();
        self.fabric.set_balancers(&live);
    }

    async fn announce_balancers(&self) -> Result<()> {
        self.update_fabric_balancers();
        let hints: Vec<_> = self.balancers.iter().map(BalancerVm::hint).collect();
        for balancer in &self.balancers {
            balancer.handle.set_balancers(hints.clone()).await?;
        }
        Ok(())
    }

    fn balancer_endpoints(&self) -> Vec<BalancerEndpoint> {
        let hints = self.balancers.iter().map(BalancerVm::hint);
        hints.map(BalancerEndpoint::from).collect()
    }

    /// Adds a target to a service and returns its index.
    pub async fn add_target(&mut self, name: &ServiceName) -> Result<usize> {
        let service = self.service(name)?.clone();
        let target = TargetOptions {
            ip: self.subnet.next_ip(),
            failure_domain: self.domain_for(self.targets.len()),
            keys: Arc::clone(&self.keys),
            certificate: Arc::new(self.certificate_authority.issue(name)?),
            balancers: self.balancer_endpoints(),
            seed: self.options.seed.wrapping_add(self.targets.len() as u64),
            service_time: self.options.service_time,
            reading_interval: self.options.reading_interval,
            transport: self.options.transport,
            service,
        };
        self.targets.push(TargetVm::start(target).await?);
        Ok(self.targets.len() - 1)
    }

    /// Restarts the stopped agent at `index`, as a new incarnation on the same address.
    pub fn restart_agent(&mut self, index: usize) -> Result<()> {
        let balancers = self.balancer_endpoints();
        let target = self.targets.get_mut(index).ok_or(Error::AgentNotRunning)?;
        target.start_agent(balancers)
    }

    /// Kills the agent at `index` and starts a backend server and an agent of another service on the
    /// same address.
    pub async fn reassign_vm(&mut self, index: usize, name: &ServiceName) -> Result<()> {
        let service = self.service(name)?.clone();
        let certificate = Arc::new(self.certificate_authority.issue(name)?);
        let balancers = self.balancer_endpoints();
        let target = self.targets.get_mut(index).ok_or(Error::AgentNotRunning)?;
        target.reassign(service, certificate, balancers).await
    }

    /// Waits until every balancer has every target that accepts requests in state ready.
    ///
    /// Returns [`Error::DeploymentNotReady`] after 10 s.
    pub async fn wait_until_ready(&self) -> Result<()> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        const TIMEOUT: Duration = Duration::from_secs(10);
        let all_ready = async {
            while !self.is_ready().await? {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Ok(())
        };
        tokio::time::timeout(TIMEOUT, all_ready)
            .await
            .unwrap_or(Err(Error::DeploymentNotReady))
    }

    async fn is_ready(&self) -> Result<bool> {
        let accepting: Vec<_> = self
            .targets
            .iter()
            .filter(|t| t.accepts_requests())
            .collect();
        for balancer in &self.balancers {
            let known_targets = balancer.handle.targets().await?;
            let is_ready = |t: &&&TargetVm| known_targets.iter().any(|k| t.is_ready_in(k));
            if accepting.iter().filter(is_ready).count() < accepting.len() {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Returns a new caller with the transport options of the deployment.
    pub fn caller(&self) -> Result<Caller> {
        self.caller_with_transport(&self.options.transport)
    }

    /// Returns a new caller with its own transport options, which may differ from those of the agents.
    pub fn caller_with_transport(&self, transport: &TransportOptions) -> Result<Caller> {
        let authorities = RootCertificates::from_pem(self.certificate_authority.pem().as_bytes())?;
        let config = tls::client_config(&authorities, tls::transport_config(transport)?)?;
        Ok(Caller::try_new(
            Ipv4Addr::LOCALHOST,
            config,
            CONNECT_TIMEOUT,
        )?)
    }

    /// Returns the CA certificate that callers trust, as PEM.
    pub fn ca_pem(&self) -> String {
        self.certificate_authority.pem()
    }

    /// Returns the name and public address of a service, for callers.
    pub fn endpoint(&self, name: &ServiceName) -> Result<ServiceEndpoint> {
        let tag = self.service(name)?.tag();
        let found = self.services.iter().find(|s| s.service == tag);
        let address = found.ok_or_else(|| Error::unknown_service(name))?.address;
        Ok(ServiceEndpoint {
            service: name.clone(),
            address,
        })
    }

    /// Returns the targets, including those with a stopped agent.
    pub fn targets(&self) -> &[TargetVm] {
        &self.targets
    }

    /// Returns the targets for modification.
    pub fn targets_mut(&mut self) -> &mut [TargetVm] {
        &mut self.targets
    }

    /// Returns the running balancers.
    pub fn balancers(&self) -> &[BalancerVm] {
        &self.balancers
    }

    /// Returns the handle of the fabric, for fault injection and counters.
    pub const fn fabric(&self) -> &FabricHandle {
        &self.fabric
    }

    /// Returns the current service addresses.
    pub fn services(&self) -> &[ServiceAddress] {
        &self.services
    }

    /// Replaces the service addresses at all balancers, as the next revision.
    pub async fn set_services(&mut self, services: Vec<ServiceAddress>) -> Result<()> {
        self.revision = self.revision.next();
        self.services = services;
        for balancer in &self.balancers {
            balancer
                .handle
                .set_services(&self.services, self.revision)
                .await?;
        }
        Ok(())
    }

    fn service(&self, name: &ServiceName) -> Result<&ServiceConfig> {
        let found = self.options.text.service(name);
        found.ok_or_else(|| Error::unknown_service(name))
    }

    fn domain_for(&self, number: usize) -> FailureDomain {
        let domains = &self.options.text.deployment.failure_domains;
        domains[number % domains.len()].clone()
    }
}

fn vm_id(role: &str, ip: Ipv4Addr) -> Result<VmId> {
    Ok(VmId::try_new(&format!("{role}-{ip}"))?)
}
