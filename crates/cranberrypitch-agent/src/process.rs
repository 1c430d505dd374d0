//! The agent as a process: configuration, balancer discovery and signal handling.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::acceptance::ConfigSnapshot;
use cranberrypitch_core::admission::AdmissionOptions;
use cranberrypitch_core::config::ServiceConfig;
use cranberrypitch_core::{Clock, SystemClock};
use cranberrypitch_net::config_sync::{ConfigSource, ConfigSync, ConfigSyncOptions};
use cranberrypitch_net::control::ControlOptions;
use cranberrypitch_net::daemon::{DaemonContext, DaemonError, ExitStatus, wait_for_stop};
use cranberrypitch_net::metrics::Timer;
use cranberrypitch_net::peers::{ControlPeers, forward_revisions};
use cranberrypitch_net::registry::list_balancers;
use cranberrypitch_net::store::{HttpStore, HttpStoreOptions, ObservedStore, StoreMonitor};
use cranberrypitch_net::tls::{Certificate, TransportOptions};
use cranberrypitch_net::{AgentSettings, Event};
use cranberrypitch_proto::control::BalancerEntry;
use tokio::sync::watch;

use crate::backend::{HttpBackend, HttpBackendOptions};
use crate::daemon::AgentHandle;
use crate::errors::{Error, Result};
use crate::options::{AgentIdentity, AgentOptions};
use crate::return_path::BalancerEndpoint;

/// The delay between attempts to find balancers at startup.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The interval at which the list of balancers is read again. Acknowledgements of reports name new
/// balancers as well; the list is needed if all known balancers have been replaced at once.
const BALANCER_REFRESH_INTERVAL: Duration = Duration::from_mins(1);

/// Agents never watch the store; only balancers occupy watcher slots.
const WATCHERS_PER_DOMAIN: u32 = 0;

/// Agents have no watcher slots to contend for, so they try as rarely as possible.
const CONTEND_INTERVAL: Duration = Duration::from_hours(24);

/// The poll interval for configurations. It is long, since acknowledgements of reports carry the
/// newest revision.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// The interval of log lines during a drain.
const DRAIN_LOG_INTERVAL: Duration = Duration::from_secs(5);

impl DaemonError for Error {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Bind { .. } => ExitStatus::Refused,
            Self::Net(error) => error.exit_status(),
            _ => ExitStatus::Failed,
        }
    }
}

/// Runs an agent until SIGTERM or SIGINT, and then drains it.
///
/// # Errors
///
/// Returns an error if the certificate or the configuration is invalid, the tunnel socket can't be
/// bound, or a thread of the agent ends unexpectedly.
pub async fn run(context: DaemonContext<AgentSettings>) -> Result<()> {
    let keys = Arc::clone(&context.keys);
    let clients = ConfigClients::new(&context);
    let mut signals = context.signals;
    let config_sync = tokio::spawn(clients.config_sync.run_until(std::future::pending()));
    let settings = &context.settings;
    let certificate =
        Certificate::from_pem_files(&settings.certificate_file, &settings.certificate_key_file)
            .inspect_err(|error| {
                let error = error.to_string().into();
                Event::CertificateRefused { error }.log();
            })?;

    let discovery = BalancerDiscovery {
        store: clients.store,
        peers: clients.peers.clone(),
    };
    let startup_data = async {
        let balancers = discovery.wait_for_balancers().await;
        let service = wait_for_service(settings, clients.source.subscribe()).await;
        (balancers, service)
    };
    let (balancers, service) = tokio::select! {
        data = startup_data => data,
        _signal = wait_for_stop(&mut signals, &keys) => return Ok(()),
    };

    let identity = AgentIdentity {
        vm: settings.vm.clone(),
        failure_domain: settings.failure_domain.clone(),
        service: settings.service.clone(),
        tunnel_address: settings.tunnel_address,
        incarnation: context.incarnation,
    };
    let admission = admission_options(&service)?;
    let options = AgentOptions::builder(identity, Arc::clone(&keys), certificate, admission)
        .transport(TransportOptions {
            idle_timeout: settings.idle_timeout_ms,
            keep_alive_interval: settings.keep_alive_ms,
            ..TransportOptions::default()
        })
        .drain_deadline(settings.drain_deadline_ms)
        .report_interval(settings.report_interval_ms)
        .balancers(balancers)
        .metrics(context.metrics.clone())
        .build();
    let backend_address = SocketAddr::V4(settings.backend_address);
    let backend = HttpBackend::new(backend_address, HttpBackendOptions::default());
    let agent = AgentHandle::spawn(options, backend)?;

    tokio::select! {
        _signal = wait_for_stop(&mut signals, &keys) => {}
        () = follow_configuration(settings, &agent, clients.source.subscribe()) => {}
        () = forward_revisions(agent.newest_revision(), clients.source.clone()) => {}
        () = forward_revisions(clients.peers.newest_peer_revision(), clients.source.clone()) => {}
        () = discovery.refresh_periodically(&agent) => {}
        error = agent.wait_for_failure() => return Err(error),
    }
    config_sync.abort();
    let drain_start = std::time::Instant::now();
    let result = drain(agent, settings.drain_deadline_ms).await;
    context.metrics.time(Timer::Drain, drain_start.elapsed());
    result
}

/// The clients through which an agent obtains its configuration and the list of balancers.
struct ConfigClients {
    store: ObservedStore<HttpStore, StoreMonitor>,
    peers: ControlPeers,
    config_sync: ConfigSync<ObservedStore<HttpStore, StoreMonitor>, ControlPeers>,
    source: ConfigSource,
}

impl ConfigClients {
    fn new(context: &DaemonContext<AgentSettings>) -> Self {
        let (settings, keys) = (&context.settings, &context.keys);
        let monitor = StoreMonitor::new(settings.store_address, context.metrics.clone());
        let store_options = HttpStoreOptions::new(settings.store_address);
        let store = || monitor.observe(HttpStore::new(store_options));
        let seeds = settings.seed_balancers.clone();
        let peers = ControlPeers::new(Arc::clone(keys), ControlOptions::default(), seeds);
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let options = ConfigSyncOptions {
            watchers_per_domain: WATCHERS_PER_DOMAIN,
            contend_interval: CONTEND_INTERVAL,
            poll_interval: CONFIG_POLL_INTERVAL,
            ..ConfigSyncOptions::new(settings.failure_domain.clone())
        };
        let (config_sync, source) = ConfigSync::new(
            store(),
            peers.clone(),
            options,
            clock,
            context.incarnation.get(),
        );
        Self {
            store: store(),
            peers,
            config_sync,
            source,
        }
    }
}

/// Lists the live balancers from the store, or from a balancer while the store is unavailable.
struct BalancerDiscovery {
    store: ObservedStore<HttpStore, StoreMonitor>,
    peers: ControlPeers,
}

impl BalancerDiscovery {
    async fn wait_for_balancers(&self) -> Vec<BalancerEndpoint> {
        loop {
            let balancers = self.list().await;
            if !balancers.is_empty() {
                return balancers;
            }
            tokio::time::sleep(DISCOVERY_RETRY_DELAY).await;
        }
    }

    async fn list(&self) -> Vec<BalancerEndpoint> {
        let listed = match list_balancers(&self.store).await {
            Ok(listed) => listed,
            Err(error) => {
                log::debug!("store can't list the balancers, asking a balancer: {error}");
                self.peers.balancers().await.unwrap_or_default()
            }
        };
        self.peers
            .set_addresses(listed.iter().map(|b| b.control_address).collect());
        listed.into_iter().map(balancer_endpoint).collect()
    }

    async fn refresh_periodically(&self, agent: &AgentHandle) {
        loop {
            tokio::time::sleep(BALANCER_REFRESH_INTERVAL).await;
            let balancers = self.list().await;
            if !balancers.is_empty() && agent.set_balancers(balancers).await.is_err() {
                return;
            }
        }
    }
}

fn balancer_endpoint(entry: BalancerEntry) -> BalancerEndpoint {
    BalancerEndpoint {
        tunnel_address: entry.tunnel_address,
        control_address: Some(entry.control_address),
        failure_domain: entry.failure_domain,
    }
}

/// Waits until a configuration is in force that contains the agent's service.
async fn wait_for_service(
    settings: &AgentSettings,
    mut snapshots: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
) -> ServiceConfig {
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        if let Some(snapshot) = snapshot {
            if let Some(service) = snapshot.service(&settings.service) {
                return service.clone();
            }
            Event::ServiceNotConfigured {
                service: settings.service.clone(),
                revision: snapshot.head().revision,
            }
            .log();
        }
        // `ConfigSync` runs until the process exits, so its channel closes only then.
        if snapshots.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn follow_configuration(
    settings: &AgentSettings,
    agent: &AgentHandle,
    mut snapshots: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
) {
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        if let Some(snapshot) = snapshot {
            apply_configuration(settings, agent, &snapshot).await;
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

async fn apply_configuration(
    settings: &AgentSettings,
    agent: &AgentHandle,
    snapshot: &ConfigSnapshot,
) {
    let head = snapshot.head();
    match snapshot.service(&settings.service) {
        Some(service) => {
            agent.set_classes(service.classes.clone());
            if let Ok(options) = admission_options(service) {
                // The agent exits if its target actor has stopped.
                let _sent = agent.configure(options).await;
            }
        }
        // The previous limits of the service stay in force for its open connections.
        None => Event::ServiceNotConfigured {
            service: settings.service.clone(),
            revision: head.revision,
        }
        .log(),
    }
    agent.set_revision(head.revision);
    Event::ConfigurationInForce {
        revision: head.revision,
        edit_id: head.edit_id,
        services: snapshot.services().count(),
    }
    .log();
}

fn admission_options(service: &ServiceConfig) -> Result<AdmissionOptions> {
    let organisation_queues = service
        .classes
        .values()
        .map(|c| c.queue_per_organisation.get());
    let builder = AdmissionOptions::builder(service.slots, service.connection_limit);
    Ok(match organisation_queues.max() {
        Some(len) => builder
            .organisation_queue_len(len)
            .queue_len(len.saturating_mul(16))
            .build()?,
        None => builder.build()?,
    })
}

/// Drains the agent, and logs the remaining requests and connections during the drain.
async fn drain(agent: AgentHandle, deadline: Duration) -> Result<()> {
    Event::DrainStarted {
        reason: "signal",
        deadline_ms: deadline,
    }
    .log();
    let drain_start = std::time::Instant::now();
    agent.drain().await?;
    let log_progress = async {
        loop {
            tokio::time::sleep(DRAIN_LOG_INTERVAL).await;
            let Ok(status) = agent.status().await else {
                return;
            };
            Event::DrainWaits {
                running: status.load.running as usize,
                waiting: status.load.waiting as usize,
                feeds: status.open_feeds as usize,
                connections: status.load.connections as usize,
            }
            .log();
        }
    };
    let final_status = tokio::select! {
        status = agent.stop() => status?,
        () = log_progress => return Err(Error::unexpected_end("target actor")),
    };
    if final_status.is_idle() {
        Event::DrainFinished {
            elapsed_ms: drain_start.elapsed(),
        }
        .log();
    } else {
        Event::DrainDeadline {
            running: final_status.load.running as usize,
            feeds: final_status.open_feeds as usize,
        }
        .log();
    }
    Ok(())
}
