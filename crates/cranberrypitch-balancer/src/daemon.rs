//! A running balancer: its threads, startup and graceful shutdown.

use std::net::SocketAddrV4;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use cranberrypitch_core::membership::{EvacuatedDomains, Target};
use cranberrypitch_core::placement::Candidate;
use cranberrypitch_core::{FastSet, Revision, ServiceTag, TargetState};
use cranberrypitch_net::Event;
use cranberrypitch_net::daemon::{RestartLog, log_thread_exit};
use cranberrypitch_net::udp::bind_nonblocking;
use cranberrypitch_proto::report::BalancerHint;
use kameo::actor::{Actor, ActorRef, Spawn};
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::counters::TrafficCounters;
use crate::errors::{Error, Result};
use crate::membership::{
    AnnounceShutdown, CheckLiveness, ListTargets, MembershipActor, MembershipActorArgs,
    RepublishTargets, SetBalancers, TICK_INTERVAL,
};
use crate::options::BalancerOptions;
use crate::router::{PathObservation, PeerBalancers, Router, ServiceViews};
use crate::traffic::{self, ControlDatagram, ServiceAddresses, ServiceSocket, TrafficThreadArgs};

/// The capacity of each queue of messages from the traffic thread to the control thread.
const CONTROL_QUEUE_LEN: usize = 4096;

/// The capacity of the queue of service sockets for the traffic thread.
const SOCKET_QUEUE_LEN: usize = 64;

/// The interval of checks whether a thread has ended.
const FAILURE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The number of goodbye messages to each agent, because the tunnel may lose some.
const GOODBYE_REPEATS: u32 = 3;

const GOODBYE_INTERVAL: Duration = Duration::from_millis(100);

/// The limit on restarts of an actor within [`RESTART_WINDOW`], beyond which the balancer fails.
const MAX_RESTARTS: u32 = 5;

const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// A service address with the service that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceAddress {
    /// The address that callers send to.
    pub address: SocketAddrV4,
    /// The service.
    pub service: ServiceTag,
}

/// A running balancer.
#[derive(Debug)]
pub struct BalancerHandle {
    members: ActorRef<MembershipActor>,
    service_views: Arc<ArcSwap<ServiceViews>>,
    peers: Arc<ArcSwap<PeerBalancers>>,
    tunnel_address: SocketAddrV4,
    addresses: Arc<ArcSwap<ServiceAddresses>>,
    open_addresses: Mutex<FastSet<SocketAddrV4>>,
    socket_sender: mpsc::Sender<ServiceSocket>,
    counters: Arc<TrafficCounters>,
    revision: watch::Sender<Revision>,
    newest_peer_revision: watch::Sender<Revision>,
    evacuated_domains: watch::Sender<EvacuatedDomains>,
    service_ip: Option<std::net::Ipv4Addr>,
    linger: Duration,
    stop: watch::Sender<bool>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl BalancerHandle {
    /// Starts a balancer without service addresses. Fails if the tunnel address can't be bound.
    pub fn spawn(options: BalancerOptions) -> Result<Self> {
        let address = options.identity.tunnel_address;
        let tunnel = bind_nonblocking(address).map_err(|e| Error::bind(address, e))?;
        let control_tunnel = Arc::new(tunnel.try_clone()?);
        let traffic_runtime = Builder::new_current_thread().enable_all().build()?;
        let control_runtime = Builder::new_current_thread().enable_all().build()?;

        let views: Arc<ArcSwap<ServiceViews>> = Arc::default();
        let addresses: Arc<ArcSwap<ServiceAddresses>> = Arc::default();
        let counters = Arc::<TrafficCounters>::default();
        let revision = watch::Sender::new(Revision::default());
        let newest_peer_revision = watch::Sender::new(Revision::default());
        let evacuated_domains = watch::Sender::<EvacuatedDomains>::default();
        let stop = watch::Sender::new(false);
        let (control_sender, control_datagrams) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (observation_sender, observations) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (socket_sender, service_sockets) = mpsc::channel(SOCKET_QUEUE_LEN);

        let args = MembershipActorArgs {
            identity: options.identity,
            options: options.membership,
            keys: Arc::clone(&options.keys),
            views: Arc::clone(&views),
            tunnel: control_tunnel,
            revision: revision.subscribe(),
            newest_peer_revision: newest_peer_revision.clone(),
            evacuated_domains: evacuated_domains.subscribe(),
            clock: Arc::clone(&options.clock),
            restarts: RestartLog::new("members"),
        };
        let inputs = ControlInputs {
            datagrams: control_datagrams,
            observations,
            stop: stop.subscribe(),
        };
        let (members_sender, members) = std::sync::mpsc::sync_channel(1);
        let control_thread = std::thread::Builder::new()
            .name("balancer-control".into())
            .spawn(move || control_runtime.block_on(run_control(args, inputs, members_sender)))?;

        let rng = options
            .seed
            .map_or_else(rand::make_rng, StdRng::seed_from_u64);
        let peers: Arc<ArcSwap<PeerBalancers>> = Arc::default();
        let router = Router::new(
            options.placement,
            Arc::clone(&views),
            Arc::clone(&peers),
            observation_sender,
            rng,
        );
        let traffic_args = {
            let _entered = traffic_runtime.enter();
            TrafficThreadArgs {
                keys: options.keys,
                clock: options.clock,
                addresses: Arc::clone(&addresses),
                counters: Arc::clone(&counters),
                tunnel: tokio::net::UdpSocket::from_std(tunnel)?,
                router,
                control: control_sender,
                service_sockets,
            }
        };
        let stop_traffic = stop.subscribe();
        let traffic_thread = std::thread::Builder::new()
            .name("balancer-traffic".into())
            .spawn(move || run_traffic(&traffic_runtime, traffic_args, stop_traffic))?;

        let members = members
            .recv()
            .map_err(|_closed| Error::component_ended("control thread"))?;
        Ok(Self {
            members,
            service_views: views,
            peers,
            tunnel_address: address,
            addresses,
            open_addresses: Mutex::default(),
            socket_sender,
            counters,
            revision,
            newest_peer_revision,
            evacuated_domains,
            service_ip: options.service_ip,
            linger: options.linger,
            stop,
            threads: Mutex::new(vec![control_thread, traffic_thread]),
        })
    }

    /// Replaces the service addresses of configuration `revision`. Sockets of removed addresses stay
    /// open for their remaining flows and accept no new ones.
    pub async fn set_services(
        &self,
        services: &[ServiceAddress],
        revision: Revision,
    ) -> Result<()> {
        for service in services {
            self.open_socket(service.address).await?;
        }
        self.replace_services(services, revision);
        Ok(())
    }

    /// Opens the socket of a service address unless it is already open.
    pub(crate) async fn open_socket(&self, address: SocketAddrV4) -> Result<()> {
        if self.open_addresses().contains(&address) {
            return Ok(());
        }
        let ip = self.service_ip.unwrap_or(*address.ip());
        let local = SocketAddrV4::new(ip, address.port());
        let socket = bind_nonblocking(local).map_err(|e| Error::bind(local, e))?;
        let sent = self
            .socket_sender
            .send(ServiceSocket { address, socket })
            .await;
        sent.map_err(|_closed| Error::component_ended("traffic thread"))?;
        self.open_addresses().insert(address);
        Ok(())
    }

    fn open_addresses(&self) -> MutexGuard<'_, FastSet<SocketAddrV4>> {
        self.open_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the service addresses, whose sockets must be open.
    pub(crate) fn replace_services(&self, services: &[ServiceAddress], revision: Revision) {
        let addresses = services.iter().map(|s| (s.address, s.service)).collect();
        self.addresses.store(Arc::new(addresses));
        self.revision.send_replace(revision);
    }

    /// Returns a channel with the newest configuration revision that any agent has reported.
    pub fn newest_peer_revision(&self) -> watch::Receiver<Revision> {
        self.newest_peer_revision.subscribe()
    }

    /// Replaces the list of live balancers, including this one, that is sent to agents.
    pub async fn set_balancers(&self, balancers: Vec<BalancerHint>) -> Result<()> {
        let others = balancers.iter().map(|b| b.tunnel_address);
        let others = others.filter(|address| *address != self.tunnel_address);
        self.peers.store(Arc::new(others.collect()));
        let sent = self.members.tell(SetBalancers(balancers)).await;
        sent.map_err(|_closed| Error::component_ended("members actor"))
    }

    /// Replaces the evacuated failure domains, whose targets get no new flows, and logs the changes.
    pub async fn set_evacuations(&self, domains: EvacuatedDomains) -> Result<()> {
        let before = self.evacuated_domains.send_replace(domains.clone());
        let sent = self.members.tell(RepublishTargets).await;
        sent.map_err(|_closed| Error::component_ended("members actor"))?;
        let targets = self.targets().await?;
        for failure_domain in domains.difference(&before) {
            let is_there = |t: &&Target| t.announcement.failure_domain == *failure_domain;
            Event::EvacuationInForce {
                failure_domain: failure_domain.clone(),
                targets: targets.iter().filter(is_there).count(),
            }
            .log();
        }
        for failure_domain in before.difference(&domains) {
            Event::EvacuationEnded {
                failure_domain: failure_domain.clone(),
            }
            .log();
        }
        Ok(())
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated_domains(&self) -> EvacuatedDomains {
        self.evacuated_domains.borrow().clone()
    }

    /// Returns the counters of the traffic thread.
    pub fn counters(&self) -> &TrafficCounters {
        &self.counters
    }

    /// Returns the number of targets over all services that accept new flows.
    pub fn ready_target_count(&self) -> usize {
        let is_ready = |candidate: &&Candidate| candidate.state == TargetState::Ready;
        let views = self.service_views.load();
        let ready = views
            .values()
            .map(|view| view.load().candidates.iter().filter(is_ready).count());
        ready.sum()
    }

    /// Returns the known targets, including silent ones.
    pub async fn targets(&self) -> Result<Vec<Target>> {
        self.members
            .ask(ListTargets)
            .await
            .map_err(|_closed| Error::component_ended("members actor"))
    }

    /// Shuts down gracefully: announces the shutdown to the agents, keeps forwarding for the linger time,
    /// and stops.
    pub async fn shutdown(&self) -> Result<()> {
        for _ in 0..GOODBYE_REPEATS {
            let sent = self.members.tell(AnnounceShutdown).await;
            sent.map_err(|_closed| Error::component_ended("members actor"))?;
            tokio::time::sleep(GOODBYE_INTERVAL).await;
        }
        tokio::time::sleep(self.linger).await;
        self.kill();
        Ok(())
    }

    /// Waits until a thread of the balancer ends unexpectedly, logs it, and returns the error.
    pub async fn wait_for_failure(&self) -> Error {
        loop {
            if let Some(thread) = self.take_finished_thread() {
                return log_thread_exit(thread).into();
            }
            tokio::time::sleep(FAILURE_POLL_INTERVAL).await;
        }
    }

    fn take_finished_thread(&self) -> Option<JoinHandle<()>> {
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = threads.iter().position(JoinHandle::is_finished)?;
        Some(threads.swap_remove(ended))
    }

    /// Stops the balancer at once and joins its threads, without announcing the shutdown.
    pub fn kill(&self) {
        self.stop.send_replace(true);
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        for thread in threads.drain(..) {
            let _ended = thread.join();
        }
    }
}

/// The supervisor of the control thread's actors.
#[derive(Debug)]
struct Supervisor;

impl Actor for Supervisor {
    type Args = ();
    type Error = Infallible;

    async fn on_start((): (), _: ActorRef<Self>) -> std::result::Result<Self, Infallible> {
        Ok(Self)
    }
}

/// Starts the membership actor under supervision.
struct StartMembershipActor(MembershipActorArgs);

impl Message<StartMembershipActor> for Supervisor {
    type Reply = ActorRef<MembershipActor>;

    async fn handle(
        &mut self,
        msg: StartMembershipActor,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        MembershipActor::supervise(ctx.actor_ref(), msg.0)
            .restart_limit(MAX_RESTARTS, RESTART_WINDOW)
            .spawn()
            .await
    }
}

/// The channels that the control thread reads from.
struct ControlInputs {
    datagrams: mpsc::Receiver<ControlDatagram>,
    observations: mpsc::Receiver<PathObservation>,
    stop: watch::Receiver<bool>,
}

async fn run_control(
    args: MembershipActorArgs,
    mut inputs: ControlInputs,
    started: SyncSender<ActorRef<MembershipActor>>,
) {
    let supervisor = Supervisor::spawn(());
    let Ok(members) = supervisor.ask(StartMembershipActor(args)).await else {
        return;
    };
    if started.send(members.clone()).is_err() {
        return;
    }
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let is_running = tokio::select! {
            _ = ticks.tick() => members.tell(CheckLiveness).await.is_ok(),
            Some(datagram) = inputs.datagrams.recv() => members.tell(datagram).await.is_ok(),
            Some(observation) = inputs.observations.recv() => members.tell(observation).await.is_ok(),
            _ = inputs.stop.changed() => false,
        };
        if !is_running {
            return;
        }
    }
}

fn run_traffic(runtime: &Runtime, args: TrafficThreadArgs, mut stop: watch::Receiver<bool>) {
    let local = LocalSet::new();
    local.block_on(runtime, async move {
        tokio::select! {
            _ended = traffic::run(args) => {}
            _stopped = stop.changed() => {}
        }
    });
}
