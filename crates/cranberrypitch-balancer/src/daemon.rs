//! The balancer as a whole: its threads, its start and its graceful stop.

use std::net::SocketAddrV4;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use cranberrypitch_core::membership::Target;
use cranberrypitch_core::placement::Candidate;
use cranberrypitch_core::{FastSet, Revision, ServiceTag, TargetState};
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
use crate::members::{
    ListTargets, MembersActor, MembersArgs, MembersTick, SendGoodbye, SetBalancers, TICK_INTERVAL,
};
use crate::options::BalancerOptions;
use crate::routing::{PathObservation, Peers, Router, ServiceViews};
use crate::traffic::{self, Addresses, ControlDatagram, ServiceSocket, TrafficParts};

/// Messages for the control thread that may wait.
const CONTROL_QUEUE_LEN: usize = 4096;

/// Service sockets that the traffic thread has not taken over yet.
const SOCKET_QUEUE_LEN: usize = 64;

/// The time between checks whether a thread has ended.
const FAILURE_POLL: Duration = Duration::from_millis(500);

/// Goodbyes are repeated, as the tunnel may lose them.
const GOODBYES: u32 = 3;

const GOODBYE_INTERVAL: Duration = Duration::from_millis(100);

/// An actor that fails more often than this within [`RESTART_WINDOW`] takes the balancer down.
const MAX_RESTARTS: u32 = 5;

const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// A service address and the service behind it.
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
    members: ActorRef<MembersActor>,
    views: Arc<ArcSwap<ServiceViews>>,
    peers: Arc<ArcSwap<Peers>>,
    tunnel_address: SocketAddrV4,
    addresses: Arc<ArcSwap<Addresses>>,
    open: Mutex<FastSet<SocketAddrV4>>,
    sockets: mpsc::Sender<ServiceSocket>,
    counters: Arc<TrafficCounters>,
    revision: watch::Sender<Revision>,
    newest_peer_revision: watch::Sender<Revision>,
    service_ip: Option<std::net::Ipv4Addr>,
    linger: Duration,
    stop: watch::Sender<bool>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl BalancerHandle {
    /// Starts a balancer that serves no address yet.
    pub fn spawn(options: BalancerOptions) -> Result<Self> {
        let address = options.identity.tunnel_address;
        let tunnel = bind_nonblocking(address).map_err(|e| Error::bind(address, e))?;
        let control_tunnel = Arc::new(tunnel.try_clone()?);
        let traffic_runtime = Builder::new_current_thread().enable_all().build()?;
        let control_runtime = Builder::new_current_thread().enable_all().build()?;

        let views: Arc<ArcSwap<ServiceViews>> = Arc::default();
        let addresses: Arc<ArcSwap<Addresses>> = Arc::default();
        let counters = Arc::<TrafficCounters>::default();
        let revision = watch::Sender::new(Revision::default());
        let newest_peer_revision = watch::Sender::new(Revision::default());
        let stop = watch::Sender::new(false);
        let (control_sender, control_datagrams) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (observation_sender, observations) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (sockets, service_sockets) = mpsc::channel(SOCKET_QUEUE_LEN);

        let args = MembersArgs {
            identity: options.identity,
            options: options.membership,
            keys: Arc::clone(&options.keys),
            views: Arc::clone(&views),
            tunnel: control_tunnel,
            revision: revision.subscribe(),
            newest_peer_revision: newest_peer_revision.clone(),
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
        let peers: Arc<ArcSwap<Peers>> = Arc::default();
        let router = Router::new(
            options.placement,
            Arc::clone(&views),
            Arc::clone(&peers),
            observation_sender,
            rng,
        );
        let parts = {
            let _entered = traffic_runtime.enter();
            TrafficParts {
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
            .spawn(move || run_traffic(&traffic_runtime, parts, stop_traffic))?;

        let members = members
            .recv()
            .map_err(|_closed| Error::component_ended("control thread"))?;
        Ok(Self {
            members,
            views,
            peers,
            tunnel_address: address,
            addresses,
            open: Mutex::default(),
            sockets,
            counters,
            revision,
            newest_peer_revision,
            service_ip: options.service_ip,
            linger: options.linger,
            stop,
            threads: Mutex::new(vec![control_thread, traffic_thread]),
        })
    }

    /// Replaces the service addresses. Sockets of addresses that are no longer listed stay open
    /// for the flows that they still carry, and take no new ones.
    pub async fn set_services(
        &self,
        services: &[ServiceAddress],
        revision: Revision,
    ) -> Result<()> {
        for service in services {
            self.open(service.address).await?;
        }
        self.replace_services(services, revision);
        Ok(())
    }

    /// Opens the socket of a service address, unless it is open.
    pub(crate) async fn open(&self, address: SocketAddrV4) -> Result<()> {
        if self.opened().contains(&address) {
            return Ok(());
        }
        let ip = self.service_ip.unwrap_or(*address.ip());
        let local = SocketAddrV4::new(ip, address.port());
        let socket = bind_nonblocking(local).map_err(|e| Error::bind(local, e))?;
        let sent = self.sockets.send(ServiceSocket { address, socket }).await;
        sent.map_err(|_closed| Error::component_ended("traffic thread"))?;
        self.opened().insert(address);
        Ok(())
    }

    fn opened(&self) -> MutexGuard<'_, FastSet<SocketAddrV4>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the services of addresses whose sockets are open.
    pub(crate) fn replace_services(&self, services: &[ServiceAddress], revision: Revision) {
        let addresses = services.iter().map(|s| (s.address, s.service)).collect();
        self.addresses.store(Arc::new(addresses));
        self.revision.send_replace(revision);
    }

    /// Returns the newest configuration that any agent has in force.
    pub fn newest_peer_revision(&self) -> watch::Receiver<Revision> {
        self.newest_peer_revision.subscribe()
    }

    /// Replaces the live balancers, this one among them, of which agents are told.
    pub async fn set_balancers(&self, balancers: Vec<BalancerHint>) -> Result<()> {
        let others = balancers.iter().map(|b| b.tunnel_address);
        let others = others.filter(|address| *address != self.tunnel_address);
        self.peers.store(Arc::new(others.collect()));
        let sent = self.members.tell(SetBalancers(balancers)).await;
        sent.map_err(|_closed| Error::component_ended("members actor"))
    }

    /// Returns the counters of the traffic path.
    pub fn counters(&self) -> &TrafficCounters {
        &self.counters
    }

    /// Returns the number of targets, over all services, that new flows may go to.
    pub fn ready_target_count(&self) -> usize {
        let is_ready = |candidate: &&Candidate| candidate.state == TargetState::Ready;
        let views = self.views.load();
        let ready = views
            .values()
            .map(|view| view.load().candidates.iter().filter(is_ready).count());
        ready.sum()
    }

    /// Returns the known targets, silent ones included.
    pub async fn targets(&self) -> Result<Vec<Target>> {
        self.members
            .ask(ListTargets)
            .await
            .map_err(|_closed| Error::component_ended("members actor"))
    }

    /// Leaves: tells the agents, goes on forwarding for a while, and stops.
    pub async fn shutdown(&self) -> Result<()> {
        for _ in 0..GOODBYES {
            let sent = self.members.tell(SendGoodbye).await;
            sent.map_err(|_closed| Error::component_ended("members actor"))?;
            tokio::time::sleep(GOODBYE_INTERVAL).await;
        }
        tokio::time::sleep(self.linger).await;
        self.kill();
        Ok(())
    }

    /// Returns when a thread of the balancer has ended although nobody asked for it, and logs it.
    pub async fn wait_for_failure(&self) -> Error {
        loop {
            if let Some(thread) = self.take_ended() {
                return log_thread_exit(thread).into();
            }
            tokio::time::sleep(FAILURE_POLL).await;
        }
    }

    fn take_ended(&self) -> Option<JoinHandle<()>> {
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = threads.iter().position(JoinHandle::is_finished)?;
        Some(threads.swap_remove(ended))
    }

    /// Ends the balancer at once, as a crash would.
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

struct StartMembers(MembersArgs);

impl Message<StartMembers> for Supervisor {
    type Reply = ActorRef<MembersActor>;

    async fn handle(
        &mut self,
        msg: StartMembers,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        MembersActor::supervise(ctx.actor_ref(), msg.0)
            .restart_limit(MAX_RESTARTS, RESTART_WINDOW)
            .spawn()
            .await
    }
}

struct ControlInputs {
    datagrams: mpsc::Receiver<ControlDatagram>,
    observations: mpsc::Receiver<PathObservation>,
    stop: watch::Receiver<bool>,
}

async fn run_control(
    args: MembersArgs,
    mut inputs: ControlInputs,
    started: SyncSender<ActorRef<MembersActor>>,
) {
    let supervisor = Supervisor::spawn(());
    let Ok(members) = supervisor.ask(StartMembers(args)).await else {
        return;
    };
    if started.send(members.clone()).is_err() {
        return;
    }
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let is_running = tokio::select! {
            _ = ticks.tick() => members.tell(MembersTick).await.is_ok(),
            Some(datagram) = inputs.datagrams.recv() => members.tell(datagram).await.is_ok(),
            Some(observation) = inputs.observations.recv() => members.tell(observation).await.is_ok(),
            _ = inputs.stop.changed() => false,
        };
        if !is_running {
            return;
        }
    }
}

fn run_traffic(runtime: &Runtime, parts: TrafficParts, mut stop: watch::Receiver<bool>) {
    let local = LocalSet::new();
    local.block_on(runtime, async move {
        tokio::select! {
            _ended = traffic::run(parts) => {}
            _stopped = stop.changed() => {}
        }
    });
}
