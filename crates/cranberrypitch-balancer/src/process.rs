//! The balancer process: store, control channel and signal handling around the traffic path.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::acceptance::ConfigSnapshot;
use cranberrypitch_core::membership::{EvacuatedDomains, MembershipOptions};
use cranberrypitch_core::{Clock, Revision, ServiceName, ServiceTag, SystemClock, VmId};
use cranberrypitch_net::config_sync::{ConfigSource, ConfigSync, ConfigSyncOptions};
use cranberrypitch_net::control::{ControlHandler, ControlOptions, ControlServer};
use cranberrypitch_net::daemon::{DaemonContext, DaemonError, ExitStatus, wait_for_stop};
use cranberrypitch_net::metrics::Timer;
use cranberrypitch_net::peers::{
    self, ControlPeers, ProcessStatus, forward_revisions, revision_announcement,
};
use cranberrypitch_net::registry::BalancerRegistry;
use cranberrypitch_net::store::{HttpStore, HttpStoreOptions, Store, StoreMonitor};
use cranberrypitch_net::{BalancerSettings, Event, Metrics};
use cranberrypitch_proto::control::{BalancerEntry, ConfigHead, ConfigShard, Digest, Notice};
use cranberrypitch_proto::report::BalancerHint;
use tokio::sync::watch;

use crate::daemon::{BalancerHandle, ServiceAddress};
use crate::errors::{Error, Result};
use crate::options::{BalancerIdentity, BalancerOptions};
use crate::sampler::BalancerSampler;

/// The time limit for the release of the watcher slot during shutdown. Without the release, its lease
/// lapses.
const SLOT_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

impl DaemonError for Error {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Bind { .. } => ExitStatus::Refused,
            Self::Net(error) => error.exit_status(),
            _ => ExitStatus::Failed,
        }
    }
}

/// Runs a balancer until a signal requests a graceful shutdown.
pub async fn run(context: DaemonContext<BalancerSettings>) -> Result<()> {
    let DaemonContext {
        settings,
        keys,
        mut signals,
        metrics,
        ..
    } = context;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let balancer = Arc::new(BalancerHandle::spawn(options(&settings, &keys))?);

    let monitor = StoreMonitor::new(settings.store_address, metrics.clone());
    let store_options = HttpStoreOptions::new(settings.store_address);
    let store = || monitor.observe(HttpStore::new(store_options));
    let seeds = settings.seed_balancers.clone();
    let control_peers = ControlPeers::new(Arc::clone(&keys), ControlOptions::default(), seeds);
    let config_sync_options = ConfigSyncOptions::new(settings.failure_domain.clone());
    let seed = context.incarnation.get();
    let (config_sync, source) = ConfigSync::new(
        store(),
        control_peers.clone(),
        config_sync_options,
        clock,
        seed,
    );
    let (mut registry, live_balancers) = BalancerRegistry::new(
        store(),
        own_entry(&settings),
        settings.lease_ms,
        settings.lease_renewal_ms,
    );
    let handler = BalancerControlHandler {
        source: source.clone(),
        live_balancers: live_balancers.clone(),
        balancer: Arc::clone(&balancer),
    };
    let control = ControlServer::bind(settings.control_address, Arc::clone(&keys), handler).await?;

    let (stop_config_sync, stopped) = tokio::sync::oneshot::channel::<()>();
    let config_sync = tokio::spawn(config_sync.run_until(async {
        let _stopped = stopped.await;
    }));
    let agent_revisions = forward_revisions(balancer.newest_peer_revision(), source.clone());
    let balancer_revisions =
        forward_revisions(control_peers.newest_peer_revision(), source.clone());
    let revision_task = tokio::spawn(async { tokio::join!(agent_revisions, balancer_revisions) });
    let updater = TrafficUpdater {
        control: &control,
        balancer: Arc::clone(&balancer),
        peers: control_peers,
        own_control_address: settings.control_address,
    };
    let sampler = BalancerSampler::new(
        Arc::clone(&balancer),
        source.clone(),
        live_balancers.clone(),
        metrics.clone(),
    );
    tokio::select! {
        _signal = wait_for_stop(&mut signals, &keys) => {}
        () = updater.follow_evacuations(registry.evacuated_domains()) => {}
        () = registry.run() => {}
        () = updater.follow_configuration(source.subscribe()) => {}
        () = updater.follow_balancers(live_balancers) => {}
        () = sampler.run(&control) => {}
        error = balancer.wait_for_failure() => return Err(error),
    }
    let _sent = stop_config_sync.send(());
    let _slot_released = tokio::time::timeout(SLOT_RELEASE_TIMEOUT, config_sync).await;
    revision_task.abort();
    GracefulShutdown {
        settings: &settings,
        metrics: &metrics,
        balancer: &balancer,
    }
    .run(&mut registry, control)
    .await
}

/// The graceful shutdown of a balancer.
struct GracefulShutdown<'a> {
    settings: &'a BalancerSettings,
    metrics: &'a Metrics,
    balancer: &'a BalancerHandle,
}

impl GracefulShutdown<'_> {
    async fn run<S: Store>(
        self,
        registry: &mut BalancerRegistry<S>,
        control: ControlServer,
    ) -> Result<()> {
        let started = Instant::now();
        Event::DrainStarted {
            reason: "signal",
            deadline_ms: self.settings.linger_ms,
        }
        .log();
        registry.deregister().await;
        let vm = self.settings.vm.clone();
        drop(control.notify(Notice::Goodbye { vm }));
        control.stop().await;
        self.balancer.shutdown().await?;
        let elapsed_ms = started.elapsed();
        Event::DrainFinished { elapsed_ms }.log();
        self.metrics.time(Timer::Drain, elapsed_ms);
        Ok(())
    }
}

fn options(
    settings: &BalancerSettings,
    keys: &Arc<cranberrypitch_net::KeyRing>,
) -> BalancerOptions {
    let identity = BalancerIdentity {
        vm: settings.vm.clone(),
        failure_domain: settings.failure_domain.clone(),
        tunnel_address: settings.tunnel_address,
    };
    let membership = MembershipOptions {
        report_interval: settings.report_interval_ms,
        ..MembershipOptions::default()
    };
    let builder = BalancerOptions::builder(identity, Arc::clone(keys))
        .linger(settings.linger_ms)
        .membership(membership);
    match settings.service_ip {
        Some(ip) => builder.service_ip(ip).build(),
        None => builder.build(),
    }
}

fn own_entry(settings: &BalancerSettings) -> BalancerEntry {
    BalancerEntry {
        vm: settings.vm.clone(),
        failure_domain: settings.failure_domain.clone(),
        control_address: settings.control_address,
        tunnel_address: settings.tunnel_address,
        is_leaving: false,
    }
}

/// Applies configurations and lists of live balancers to the traffic path.
struct TrafficUpdater<'a> {
    control: &'a ControlServer,
    balancer: Arc<BalancerHandle>,
    peers: ControlPeers,
    own_control_address: SocketAddrV4,
}

impl TrafficUpdater<'_> {
    async fn follow_configuration(
        &self,
        mut published: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    ) {
        loop {
            let snapshot = published.borrow_and_update().clone();
            if let Some(snapshot) = snapshot {
                self.apply(&snapshot).await;
            }
            if published.changed().await.is_err() {
                return;
            }
        }
    }

    async fn apply(&self, snapshot: &ConfigSnapshot) {
        let mut services = Vec::new();
        for service in snapshot.services() {
            let tag = service.tag();
            for address in &service.addresses {
                let address = ServiceAddress {
                    address: *address,
                    service: tag,
                };
                match self.balancer.open_socket(address.address).await {
                    Ok(()) => services.push(address),
                    Err(error) => Event::ServiceAddressRefused {
                        service: service.name.clone(),
                        address: address.address,
                        error: error.to_string().into(),
                    }
                    .log(),
                }
            }
        }
        let head = snapshot.head();
        self.balancer.replace_services(&services, head.revision);
        // Peers that miss the announcement get the configuration with their next poll.
        drop(self.control.notify(revision_announcement(head.revision)));
        Event::ConfigurationInForce {
            revision: head.revision,
            edit_id: head.edit_id,
            services: snapshot.services().count(),
        }
        .log();
    }

    async fn follow_evacuations(&self, mut evacuated: watch::Receiver<EvacuatedDomains>) {
        loop {
            let domains = evacuated.borrow_and_update().clone();
            if self.balancer.set_evacuations(domains).await.is_err()
                || evacuated.changed().await.is_err()
            {
                return;
            }
        }
    }

    async fn follow_balancers(&self, mut live_balancers: watch::Receiver<Vec<BalancerEntry>>) {
        loop {
            let entries = live_balancers.borrow_and_update().clone();
            let others = entries.iter().map(|e| e.control_address);
            let others = others.filter(|address| *address != self.own_control_address);
            self.peers.set_addresses(others.collect());
            let hints = entries
                .into_iter()
                .filter(|e| !e.is_leaving)
                .map(balancer_hint);
            if self.balancer.set_balancers(hints.collect()).await.is_err()
                || live_balancers.changed().await.is_err()
            {
                return;
            }
        }
    }
}

fn balancer_hint(entry: BalancerEntry) -> BalancerHint {
    BalancerHint {
        tunnel_address: entry.tunnel_address,
        control_address: Some(entry.control_address),
        failure_domain: entry.failure_domain,
    }
}

/// Answers the control requests of other processes.
struct BalancerControlHandler {
    source: ConfigSource,
    live_balancers: watch::Receiver<Vec<BalancerEntry>>,
    balancer: Arc<BalancerHandle>,
}

impl ControlHandler for BalancerControlHandler {
    async fn config_head(&self, since: Revision) -> Option<ConfigHead> {
        peers::encode_update(&self.source.update_since(since)?)
    }

    async fn config_shard(&self, digest: Digest) -> Option<ConfigShard> {
        peers::encode_shard(&self.source, digest)
    }

    async fn balancers(&self) -> Vec<BalancerEntry> {
        self.live_balancers.borrow().clone()
    }

    async fn peer_targets(&self, service: ServiceName) -> Vec<SocketAddrV4> {
        let tag = ServiceTag::of(&service);
        let targets = self.balancer.targets().await.unwrap_or_default();
        let of_service = targets.into_iter().filter(|t| t.service == tag);
        of_service.map(|t| t.address).collect()
    }

    async fn status(&self) -> Box<str> {
        let published = self.source.subscribe();
        let services = published.borrow().as_ref().map(|s| s.services().count());
        let status = ProcessStatus {
            revision: self.source.revision(),
            services: services.unwrap_or_default(),
            targets: self.balancer.targets().await.map_or(0, |t| t.len()),
            balancers: self.live_balancers.borrow().len(),
            evacuated_domains: self.balancer.evacuated_domains(),
        };
        serde_json::to_string(&status).unwrap_or_default().into()
    }

    async fn goodbye(&self, _peer: SocketAddr, _vm: VmId) {}
}
