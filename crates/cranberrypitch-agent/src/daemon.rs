//! The agent as a whole: its threads, its start and its graceful stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use cranberrypitch_core::admission::AdmissionOptions;
use cranberrypitch_core::config::ClassLimits;
use cranberrypitch_core::{Class, Clock, Revision, ServiceTag, TargetState};
use cranberrypitch_net::daemon::{RestartLog, log_ended};
use cranberrypitch_net::metrics::Snapshot;
use cranberrypitch_net::tls;
use cranberrypitch_net::udp::bind_buffered;
use kameo::actor::{ActorRef, Spawn};
use quinn::{Endpoint, TokioRuntime};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};

use crate::announce::{AnnounceActor, AnnounceArgs, ReportGone, ReportNow, SetBalancers};
use crate::backend::{BackendServer, BackendState};
use crate::errors::{Error, Result};
use crate::ids::TokenIssuer;
use crate::options::AgentOptions;
use crate::returns::{BalancerEndpoint, ReturnPath};
use crate::server::{ServedClasses, Server};
use crate::socket::{
    ControlDatagram, DropCounters, SocketIdentity, TunnelSocket, TunnelSocketParts,
};
use crate::supervisor::{StartAnnounce, StartTarget, StopFlag, Supervisor, run_control_loop};
use crate::target::{
    Configure, Drain, GetRequestTimes, GetStatus, HealthProbeResult, TargetActor, TargetArgs,
    TargetStatus,
};

/// Tunnel datagrams for the control thread that may wait.
const CONTROL_QUEUE_LEN: usize = 1024;

/// The time between questions about the health of the backend server.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// The time between checks whether a thread has ended.
const THREAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long the ends of connections may take to reach callers; three probe timeouts of a caller
/// far away fit in.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between checks whether a drain has finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    target: ActorRef<TargetActor>,
    announce: ActorRef<AnnounceActor>,
    state: watch::Receiver<TargetState>,
    revision: watch::Sender<Revision>,
    newest_revision: watch::Sender<Revision>,
    drop_counters: Arc<DropCounters>,
    open_streams: Arc<dyn OpenStreams>,
    endpoint: Endpoint,
    drain_deadline: Duration,
    clock: Arc<dyn Clock>,
    stop: StopFlag,
    classes: Arc<ServedClasses>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// The streams on which an answer is still on its way.
trait OpenStreams: std::fmt::Debug + Send + Sync {
    fn count(&self) -> usize;
}

impl<B: std::fmt::Debug + Send + Sync> OpenStreams for Server<B> {
    fn count(&self) -> usize {
        self.open_streams.load(Ordering::Acquire)
    }
}

/// What the control thread hands out once its actors run.
struct ControlActors {
    target: ActorRef<TargetActor>,
    announce: ActorRef<AnnounceActor>,
}

impl AgentHandle {
    /// Starts an agent beside a backend server.
    pub fn spawn<B: BackendServer + 'static>(options: AgentOptions, backend: B) -> Result<Self> {
        let traffic_runtime = Builder::new_current_thread().enable_all().build()?;
        let state_sender = watch::Sender::new(TargetState::Starting);
        let state_receiver = state_sender.subscribe();
        let revision = watch::Sender::new(Revision::default());
        let newest_revision = watch::Sender::new(Revision::default());
        let stop = StopFlag::new();
        let tunnel = Tunnel::open(&options, &traffic_runtime)?;
        let args = ControlThreadArgs {
            target: target_args(&options, &tunnel, state_sender),
            announce: AnnounceArgsParts {
                options: &options,
                return_path: tunnel.return_path,
                socket: Arc::clone(&tunnel.socket),
                revision: revision.subscribe(),
                newest_revision: newest_revision.clone(),
            }
            .into_args(),
            control_datagrams: tunnel.control_datagrams,
            stop: stop.subscribe(),
        };
        let (control_thread, actors) = start_control(args)?;

        let classes = Arc::<ServedClasses>::default();
        let server = Arc::new(Server {
            classes: Arc::clone(&classes),
            backend: Arc::new(backend),
            target: actors.target.clone(),
            state: state_receiver.clone(),
            issuer: tunnel.issuer.clone(),
            incarnation: options.identity.incarnation,
            response_timeout: options.response_timeout,
            next_request_id: AtomicU64::new(0),
            open_streams: AtomicUsize::new(0),
        });
        let drop_counters = tunnel.socket.counters();
        let endpoint = open_endpoint(&options, tunnel.issuer, tunnel.socket, &traffic_runtime)?;
        let traffic_thread = {
            let server = Arc::clone(&server);
            let (endpoint, stop) = (endpoint.clone(), stop.subscribe());
            std::thread::Builder::new()
                .name("agent-traffic".into())
                .spawn(move || traffic_runtime.block_on(run_traffic(server, endpoint, stop)))?
        };
        Ok(Self {
            target: actors.target,
            announce: actors.announce,
            state: state_receiver,
            revision,
            newest_revision,
            drop_counters,
            open_streams: server,
            endpoint,
            drain_deadline: options.drain_deadline,
            clock: options.clock,
            stop,
            classes,
            threads: Mutex::new(vec![control_thread, traffic_thread]),
        })
    }

    /// Returns the state, which changes on its own with the backend server's health.
    pub fn state(&self) -> watch::Receiver<TargetState> {
        self.state.clone()
    }

    /// Returns what the tunnel socket has dropped.
    pub fn counters(&self) -> &DropCounters {
        &self.drop_counters
    }

    /// Returns state and load.
    pub async fn status(&self) -> Result<TargetStatus> {
        let status = self.target.ask(GetStatus).await.ok().flatten();
        status.ok_or_else(|| Error::unexpected_end("target actor"))
    }

    /// Returns waits and service times per organisation and class since the last log line about
    /// them.
    pub async fn request_times(&self) -> Result<Snapshot> {
        let times = self.target.ask(GetRequestTimes).await.ok().flatten();
        times.ok_or_else(|| Error::unexpected_end("target actor"))
    }

    /// Tells the agent which balancers are listed as live.
    pub async fn set_balancers(&self, balancers: Vec<BalancerEndpoint>) -> Result<()> {
        let sent = self.announce.tell(SetBalancers(balancers)).await;
        sent.map_err(|_closed| Error::unexpected_end("announce actor"))
    }

    /// Tells the agent which configuration is in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.send_replace(revision);
    }

    /// Returns the newest configuration that any balancer has told of.
    pub fn newest_revision(&self) -> watch::Receiver<Revision> {
        self.newest_revision.subscribe()
    }

    /// Begins the drain: from now on nothing new starts.
    pub async fn drain(&self) -> Result<()> {
        self.target
            .tell(Drain)
            .await
            .map_err(|_closed| Error::unexpected_end("target actor"))?;
        self.announce
            .tell(ReportNow)
            .await
            .map_err(|_closed| Error::unexpected_end("announce actor"))
    }

    /// Drains, waits until nothing runs any more or the drain deadline has passed, and stops.
    /// Returns what was cut, which is nothing unless the deadline has passed.
    pub async fn stop(&self) -> Result<TargetStatus> {
        self.drain().await?;
        let deadline = self.clock.now() + self.drain_deadline;
        let final_status = loop {
            let status = self.status().await?;
            let has_linger_passed = status.time_until_exit.is_some_and(|wait| wait.is_zero());
            if (has_linger_passed && self.open_streams.count() == 0) || self.clock.now() >= deadline
            {
                break status;
            }
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        };
        let _sent = self.announce.ask(ReportGone).await;
        self.endpoint.close(0_u32.into(), b"drained");
        // A connection that its caller gave up during the handshake stays open until its idle
        // timeout; nothing is sent on it that the stop would have to wait for.
        let _closed = tokio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
        let _stopped = self.target.stop_gracefully().await;
        self.target.wait_for_shutdown().await;
        self.kill();
        Ok(final_status)
    }

    /// Ends the agent at once, as a crash would.
    pub fn kill(&self) {
        self.stop.set();
        for thread in self.lock_threads().drain(..) {
            let _ended = thread.join();
        }
    }

    /// Returns when a thread of the agent has ended although nobody asked for it, and logs it.
    pub async fn wait_for_failure(&self) -> Error {
        loop {
            if let Some(thread) = self.take_finished_thread() {
                return log_ended(thread).into();
            }
            tokio::time::sleep(THREAD_CHECK_INTERVAL).await;
        }
    }

    fn take_finished_thread(&self) -> Option<JoinHandle<()>> {
        let mut threads = self.lock_threads();
        let index = threads.iter().position(JoinHandle::is_finished)?;
        Some(threads.swap_remove(index))
    }

    fn lock_threads(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.threads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the limits of another configuration in force. What runs or waits stays.
    pub async fn configure(&self, admission: AdmissionOptions) -> Result<()> {
        let sent = self.target.tell(Configure(admission)).await;
        sent.map_err(|_closed| Error::unexpected_end("target actor"))
    }

    /// Replaces the limits of the classes that are served. Until the first call, every class is
    /// served without limits of its own.
    pub fn set_classes(&self, classes: BTreeMap<Class, ClassLimits>) {
        self.classes.store(Some(Arc::new(classes)));
    }
}

/// The tunnel socket and what belongs to it.
struct Tunnel {
    issuer: TokenIssuer,
    return_path: Arc<ReturnPath>,
    socket: Arc<TunnelSocket>,
    control_datagrams: mpsc::Receiver<ControlDatagram>,
}

impl Tunnel {
    fn open(options: &AgentOptions, traffic_runtime: &Runtime) -> Result<Self> {
        let identity = &options.identity;
        let address = identity.tunnel_address;
        let udp_socket = bind_buffered(address).map_err(|e| Error::bind(address, e))?;
        let service = ServiceTag::of(&identity.service);
        let return_path = Arc::new(ReturnPath::new(identity.failure_domain.clone()));
        let (control_sender, control_datagrams) = mpsc::channel(CONTROL_QUEUE_LEN);
        let _entered = traffic_runtime.enter();
        let socket = Arc::new(TunnelSocket::new(TunnelSocketParts {
            udp_socket: tokio::net::UdpSocket::from_std(udp_socket)?,
            identity: SocketIdentity {
                service,
                incarnation: identity.incarnation,
            },
            keys: Arc::clone(&options.keys),
            clock: Arc::clone(&options.clock),
            return_path: Arc::clone(&return_path),
            control_sender,
        }));
        let issuer = TokenIssuer::new(
            address,
            service,
            identity.incarnation,
            Arc::clone(&options.keys),
            options.token_lifetime,
        );
        Ok(Self {
            issuer,
            return_path,
            socket,
            control_datagrams,
        })
    }
}

fn target_args(
    options: &AgentOptions,
    tunnel: &Tunnel,
    state: watch::Sender<TargetState>,
) -> TargetArgs {
    TargetArgs {
        identity: options.identity.clone(),
        admission: options.admission,
        tickets: options.tickets,
        health: options.health,
        drain: options.drain,
        issuer: tunnel.issuer.clone(),
        socket: Arc::clone(&tunnel.socket),
        metrics: options.metrics.clone(),
        clock: Arc::clone(&options.clock),
        state,
    }
}

/// What the announce actor needs besides the target actor, which does not run yet.
struct AnnounceArgsParts<'a> {
    options: &'a AgentOptions,
    return_path: Arc<ReturnPath>,
    socket: Arc<TunnelSocket>,
    revision: watch::Receiver<Revision>,
    newest_revision: watch::Sender<Revision>,
}

impl AnnounceArgsParts<'_> {
    fn into_args(self) -> impl FnOnce(ActorRef<TargetActor>) -> AnnounceArgs + Send + 'static {
        let identity = self.options.identity.clone();
        let connections_max = self.options.admission.connection_limit();
        let balancers = self.options.balancers.clone();
        let clock = Arc::clone(&self.options.clock);
        let metrics = self.options.metrics.clone();
        let idle_report_interval = self.options.report_interval;
        let (return_path, socket, revision) = (self.return_path, self.socket, self.revision);
        let newest_revision = self.newest_revision;
        move |target| AnnounceArgs {
            identity,
            connections_max,
            balancers,
            idle_report_interval,
            revision,
            newest_revision,
            return_path,
            socket,
            target,
            sequence: Arc::default(),
            metrics,
            restarts: RestartLog::new("announce"),
            clock,
        }
    }
}

/// What the control thread is started with.
struct ControlThreadArgs<F> {
    target: TargetArgs,
    announce: F,
    control_datagrams: mpsc::Receiver<ControlDatagram>,
    stop: watch::Receiver<bool>,
}

fn start_control<F>(args: ControlThreadArgs<F>) -> Result<(JoinHandle<()>, ControlActors)>
where
    F: FnOnce(ActorRef<TargetActor>) -> AnnounceArgs + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (sender, receiver) = std::sync::mpsc::sync_channel(1);
    let thread = std::thread::Builder::new()
        .name("agent-control".into())
        .spawn(move || runtime.block_on(run_control(args, sender)))?;
    let actors = receiver
        .recv()
        .map_err(|_closed| Error::unexpected_end("control thread"))?;
    Ok((thread, actors))
}

async fn run_control<F>(mut args: ControlThreadArgs<F>, actors: SyncSender<ControlActors>)
where
    F: FnOnce(ActorRef<TargetActor>) -> AnnounceArgs,
{
    let supervisor = Supervisor::spawn(());
    let Ok(target) = supervisor.ask(StartTarget(args.target)).await else {
        return;
    };
    let announce_args = (args.announce)(target.clone());
    let Ok(announce) = supervisor.ask(StartAnnounce(announce_args)).await else {
        return;
    };
    let driver = tokio::spawn(run_control_loop(
        target.clone(),
        announce.clone(),
        args.control_datagrams,
        args.stop.clone(),
    ));
    let stopped_target = target.clone();
    if actors.send(ControlActors { target, announce }).is_ok() {
        tokio::select! {
            _stopped = args.stop.changed() => {}
            // Without its target actor the agent can't go on.
            () = stopped_target.wait_for_shutdown() => {}
        }
    }
    driver.abort();
}

async fn run_traffic<B: BackendServer + 'static>(
    server: Arc<Server<B>>,
    endpoint: Endpoint,
    mut stop: watch::Receiver<bool>,
) {
    let health = tokio::spawn(poll_health(
        Arc::clone(&server.backend),
        server.target.clone(),
    ));
    let mut serve = tokio::spawn(server.run(endpoint));
    tokio::select! {
        _stopped = stop.changed() => {}
        result = &mut serve => {
            // Without the task the agent would report its target and refuse every connection.
            if let Err(error) = result
                && error.is_panic()
            {
                std::panic::resume_unwind(error.into_panic());
            }
            // A graceful stop closes the endpoint first.
            let _stopped = stop.changed().await;
        }
    }
    serve.abort();
    health.abort();
}

/// Asks the backend server for its health and passes it on.
async fn poll_health<B: BackendServer>(backend: Arc<B>, target: ActorRef<TargetActor>) {
    loop {
        let is_ok = matches!(
            backend.health().await,
            Ok(BackendState::Ready | BackendState::Starting)
        );
        if target.tell(HealthProbeResult { is_ok }).await.is_err() {
            return;
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}

fn open_endpoint(
    options: &AgentOptions,
    issuer: TokenIssuer,
    socket: Arc<TunnelSocket>,
    traffic_runtime: &Runtime,
) -> Result<Endpoint> {
    let transport = tls::transport_config(&options.transport)?;
    let server_config = tls::server_config(&options.certificate, transport)?;
    let mut endpoint_config = tls::endpoint_config(options.keys.keys().reset())?;
    endpoint_config.cid_generator(move || Box::new(issuer.clone()));
    let _entered = traffic_runtime.enter();
    let endpoint = Endpoint::new_with_abstract_socket(
        endpoint_config,
        Some(server_config),
        socket,
        Arc::new(TokioRuntime),
    )?;
    Ok(endpoint)
}

impl AgentHandle {
    /// Returns the address at which the agent receives tunnel datagrams.
    pub fn tunnel_address(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }
}
