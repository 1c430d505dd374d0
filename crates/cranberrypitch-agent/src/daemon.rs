//! The threads of an agent, its start and its graceful stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use cranberrypitch_core::admission::AdmissionOptions;
use cranberrypitch_core::config::ClassLimits;
use cranberrypitch_core::{Clock, RequestClass, Revision, ServiceTag, TargetState};
use cranberrypitch_net::daemon::{RestartLog, log_thread_exit};
use cranberrypitch_net::metrics::RequestTimesSnapshot;
use cranberrypitch_net::tls;
use cranberrypitch_net::udp::bind_nonblocking;
use kameo::actor::{ActorRef, Spawn};
use quinn::{Endpoint, TokioRuntime};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};

use crate::announce::{AnnounceActor, AnnounceArgs, ReportGone, ReportNow, SetBalancers};
use crate::backend::{BackendServer, BackendState};
use crate::errors::{Error, Result};
use crate::options::AgentOptions;
use crate::return_path::{BalancerEndpoint, ReturnPath};
use crate::server::{ServedClasses, Server};
use crate::socket::{
    ControlDatagram, DropCounters, SocketIdentity, TunnelSocket, TunnelSocketParts,
};
use crate::supervisor::{StartAnnounce, StartTarget, StopFlag, Supervisor, run_control_loop};
use crate::target::{
    Configure, Drain, GetRequestTimes, GetStatus, HealthProbeResult, TargetActor, TargetArgs,
    TargetStatus,
};
use crate::token_issuer::TokenIssuer;

/// The maximum number of queued tunnel datagrams for the control thread.
const CONTROL_QUEUE_LEN: usize = 1024;

/// The interval of health probes of the backend server.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// The interval of checks whether a thread has ended.
const THREAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long the agent waits for its connections to close, which is enough for three probe timeouts
/// of a distant caller.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval of checks whether a drain is complete.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A handle to a running agent.
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

/// The streams that are still being served, on which a response may be in flight.
trait OpenStreams: std::fmt::Debug + Send + Sync {
    fn count(&self) -> usize;
}

impl<B: std::fmt::Debug + Send + Sync> OpenStreams for Server<B> {
    fn count(&self) -> usize {
        self.open_streams.load(Ordering::Acquire)
    }
}

/// The actors of the control thread, which it returns once they run.
struct ControlActors {
    target: ActorRef<TargetActor>,
    announce: ActorRef<AnnounceActor>,
}

impl AgentHandle {
    /// Starts an agent for a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the tunnel socket can't be bound, TLS can't be set up, or a thread can't
    /// be started.
    pub fn spawn<B: BackendServer + 'static>(options: AgentOptions, backend: B) -> Result<Self> {
        let traffic_runtime = Builder::new_current_thread().enable_all().build()?;
        let state_sender = watch::Sender::new(TargetState::Starting);
        let state_receiver = state_sender.subscribe();
        let revision = watch::Sender::new(Revision::default());
        let newest_revision = watch::Sender::new(Revision::default());
        let stop = StopFlag::new();
        let tunnel = Tunnel::open(&options, &traffic_runtime)?;
        let args = ControlThreadArgs {
            target_args: target_args(&options, &tunnel, state_sender),
            announce_args: AnnounceArgsParts {
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
            refused_callers: tunnel.socket.refused_callers(),
            incarnation: options.identity.incarnation,
            response_timeout: options.response_timeout,
            next_request_id: AtomicU64::new(0),
            open_streams: AtomicUsize::new(0),
        });
        let drop_counters = tunnel.socket.drop_counters();
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

    /// Returns the state of the target, which follows the health of the backend server.
    pub fn state(&self) -> watch::Receiver<TargetState> {
        self.state.clone()
    }

    /// Returns the numbers of datagrams that the tunnel socket has dropped.
    pub fn counters(&self) -> &DropCounters {
        &self.drop_counters
    }

    /// Returns the state and load of the target.
    ///
    /// # Errors
    ///
    /// Returns an error if the target actor has stopped.
    pub async fn status(&self) -> Result<TargetStatus> {
        let status = self.target.ask(GetStatus).await.ok().flatten();
        status.ok_or_else(|| Error::unexpected_end("target actor"))
    }

    /// Returns the queueing and service times per organisation and class since they were last
    /// logged.
    ///
    /// # Errors
    ///
    /// Returns an error if the target actor has stopped.
    pub async fn request_times(&self) -> Result<RequestTimesSnapshot> {
        let times = self.target.ask(GetRequestTimes).await.ok().flatten();
        times.ok_or_else(|| Error::unexpected_end("target actor"))
    }

    /// Adds the balancers that are listed as live.
    ///
    /// # Errors
    ///
    /// Returns an error if the actor that sends reports has stopped.
    pub async fn set_balancers(&self, balancers: Vec<BalancerEndpoint>) -> Result<()> {
        let sent = self.announce.tell(SetBalancers(balancers)).await;
        sent.map_err(|_closed| Error::unexpected_end("announce actor"))
    }

    /// Sets the revision of the configuration in force, which load reports carry.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.send_replace(revision);
    }

    /// Returns the newest configuration revision that a balancer has reported.
    pub fn newest_revision(&self) -> watch::Receiver<Revision> {
        self.newest_revision.subscribe()
    }

    /// Begins the drain: the agent accepts no new requests and reports that it is draining.
    ///
    /// # Errors
    ///
    /// Returns an error if an actor of the agent has stopped.
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

    /// Drains the agent, waits until all requests have completed or the drain deadline has passed,
    /// and stops it. Returns the final status, which has remaining requests or feeds only if the
    /// deadline has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if an actor of the agent has stopped.
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
        // A connection that its caller abandoned during the handshake stays open until its idle
        // timeout. It carries no response, so the stop does not wait for it.
        let _closed = tokio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
        let _stopped = self.target.stop_gracefully().await;
        self.target.wait_for_shutdown().await;
        self.kill();
        Ok(final_status)
    }

    /// Stops the agent at once without draining, as a crash would.
    pub fn kill(&self) {
        self.stop.set();
        for thread in self.lock_threads().drain(..) {
            let _ended = thread.join();
        }
    }

    /// Waits until a thread of the agent ends without a stop request, logs it, and returns the
    /// error.
    pub async fn wait_for_failure(&self) -> Error {
        loop {
            if let Some(thread) = self.take_finished_thread() {
                return log_thread_exit(thread).into();
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

    /// Applies the admission limits of another configuration. Running and waiting requests are
    /// kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the target actor has stopped.
    pub async fn configure(&self, admission: AdmissionOptions) -> Result<()> {
        let sent = self.target.tell(Configure(admission)).await;
        sent.map_err(|_closed| Error::unexpected_end("target actor"))
    }

    /// Replaces the served classes and their limits. Until the first call, all classes are served
    /// without limits per class.
    pub fn set_classes(&self, classes: BTreeMap<RequestClass, ClassLimits>) {
        self.classes.store(Some(Arc::new(classes)));
    }
}

/// The tunnel socket with its token issuer, return path and control queue.
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
        let udp_socket = bind_nonblocking(address).map_err(|e| Error::bind(address, e))?;
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

/// The arguments of the announce actor without the target actor, which is not running yet.
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
            next_sequence: Arc::default(),
            metrics,
            restarts: RestartLog::new("announce"),
            clock,
        }
    }
}

/// The arguments of the control thread.
struct ControlThreadArgs<F> {
    target_args: TargetArgs,
    announce_args: F,
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

async fn run_control<F>(mut args: ControlThreadArgs<F>, actor_sender: SyncSender<ControlActors>)
where
    F: FnOnce(ActorRef<TargetActor>) -> AnnounceArgs,
{
    let supervisor = Supervisor::spawn(());
    let Ok(target) = supervisor.ask(StartTarget(args.target_args)).await else {
        return;
    };
    let announce_args = (args.announce_args)(target.clone());
    let Ok(announce) = supervisor.ask(StartAnnounce(announce_args)).await else {
        return;
    };
    let control_loop = tokio::spawn(run_control_loop(
        target.clone(),
        announce.clone(),
        args.control_datagrams,
        args.stop.clone(),
    ));
    let stopped_target = target.clone();
    if actor_sender
        .send(ControlActors { target, announce })
        .is_ok()
    {
        tokio::select! {
            _stopped = args.stop.changed() => {}
            // The agent can't continue without its target actor.
            () = stopped_target.wait_for_shutdown() => {}
        }
    }
    control_loop.abort();
}

async fn run_traffic<B: BackendServer + 'static>(
    server: Arc<Server<B>>,
    endpoint: Endpoint,
    mut stop: watch::Receiver<bool>,
) {
    let health_task = tokio::spawn(poll_health(
        Arc::clone(&server.backend),
        server.target.clone(),
    ));
    let mut server_task = tokio::spawn(server.run(endpoint));
    tokio::select! {
        _stopped = stop.changed() => {}
        result = &mut server_task => {
            // Without this task, the agent would report its target as ready but accept no
            // connection.
            if let Err(error) = result
                && error.is_panic()
            {
                std::panic::resume_unwind(error.into_panic());
            }
            // A graceful stop closes the endpoint first.
            let _stopped = stop.changed().await;
        }
    }
    server_task.abort();
    health_task.abort();
}

/// Probes the health of the backend server periodically and sends the results to the target actor.
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
    let mut endpoint_config = tls::endpoint_config(options.keys.keys().stateless_reset_key())?;
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
    /// Returns the UDP address at which the agent receives tunnel datagrams.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the address.
    pub fn tunnel_address(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }
}
