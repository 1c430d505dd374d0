//! The agent as a whole: its threads, its start and its graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::thread::JoinHandle;
use std::time::Duration;

use cranberrypitch_core::{Clock, Revision, ServiceTag, TargetState};
use cranberrypitch_net::tls;
use cranberrypitch_net::udp::bind_tunnel;
use kameo::actor::{ActorRef, Spawn};
use quinn::{Endpoint, TokioRuntime};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};

use crate::announce::{AnnounceActor, AnnounceArgs, ReportGone, ReportNow, SetBalancers};
use crate::backend::{BackendServer, BackendState};
use crate::errors::{Error, Result};
use crate::ids::TokenIssuer;
use crate::options::AgentOptions;
use crate::returns::{ReturnBalancer, ReturnPath};
use crate::server::Server;
use crate::socket::{SocketCounters, SocketIdentity, TunnelSocket, TunnelSocketParts};
use crate::supervisor::{StartAnnounce, StartTarget, StopFlag, Supervisor, drive_control};
use crate::target::{Drain, HealthAnswer, Status, TargetActor, TargetArgs, TargetStatus};

/// Tunnel datagrams for the control thread that may wait.
const CONTROL_QUEUE_LEN: usize = 1024;

/// The time between questions about the health of the backend server.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// The time between checks whether a drain has finished.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    target: ActorRef<TargetActor>,
    announce: ActorRef<AnnounceActor>,
    state: watch::Receiver<TargetState>,
    revision: watch::Sender<Revision>,
    newest_revision: watch::Sender<Revision>,
    counters: Arc<SocketCounters>,
    open_streams: Arc<dyn OpenStreams>,
    endpoint: Endpoint,
    drain_deadline: Duration,
    clock: Arc<dyn Clock>,
    stop: StopFlag,
    threads: Vec<JoinHandle<()>>,
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
struct ControlParts {
    target: ActorRef<TargetActor>,
    announce: ActorRef<AnnounceActor>,
}

impl AgentHandle {
    /// Starts an agent beside a backend server.
    pub fn spawn<B: BackendServer + 'static>(options: AgentOptions, backend: B) -> Result<Self> {
        let address = options.identity.tunnel_address;
        let io = bind_tunnel(address).map_err(|e| Error::bind(address, e))?;
        let traffic = Builder::new_current_thread().enable_all().build()?;
        let control = Builder::new_current_thread().enable_all().build()?;
        let identity = options.identity.clone();
        let service = ServiceTag::of(&identity.service);
        let issuer = TokenIssuer::new(
            address,
            service,
            identity.incarnation,
            Arc::clone(&options.keys),
            options.token_lifetime,
        );
        let returns = Arc::new(ReturnPath::new(identity.failure_domain.clone()));
        let (control_sender, control_datagrams) = mpsc::channel(CONTROL_QUEUE_LEN);
        let socket = {
            let _entered = traffic.enter();
            Arc::new(TunnelSocket::new(TunnelSocketParts {
                io: tokio::net::UdpSocket::from_std(io)?,
                identity: SocketIdentity {
                    service,
                    incarnation: identity.incarnation,
                },
                keys: Arc::clone(&options.keys),
                clock: Arc::clone(&options.clock),
                returns: Arc::clone(&returns),
                control: control_sender,
            }))
        };
        let state = watch::Sender::new(TargetState::Starting);
        let state_receiver = state.subscribe();
        let revision = watch::Sender::new(Revision::default());
        let newest_revision = watch::Sender::new(Revision::default());
        let stop = StopFlag::new();
        let target_args = TargetArgs {
            identity: identity.clone(),
            admission: options.admission,
            tickets: options.tickets,
            health: options.health,
            drain: options.drain,
            issuer: issuer.clone(),
            socket: Arc::clone(&socket),
            clock: Arc::clone(&options.clock),
            state,
        };
        let (parts_sender, parts) = std::sync::mpsc::sync_channel(1);
        let announce_args = AnnounceSeed {
            options: &options,
            returns,
            socket: Arc::clone(&socket),
            revision: revision.subscribe(),
            newest_revision: newest_revision.clone(),
        };
        let announce_args = announce_args.into_args();
        let stop_control = stop.subscribe();
        let control_thread = std::thread::Builder::new()
            .name("agent-control".into())
            .spawn({
                move || {
                    control.block_on(run_control(
                        target_args,
                        announce_args,
                        control_datagrams,
                        parts_sender,
                        stop_control,
                    ));
                }
            })?;
        let parts = parts
            .recv()
            .map_err(|_closed| Error::ended("control thread"))?;
        let server = Arc::new(Server {
            backend: Arc::new(backend),
            target: parts.target.clone(),
            state: state_receiver.clone(),
            issuer: issuer.clone(),
            incarnation: identity.incarnation,
            answer_timeout: options.answer_timeout,
            next_request: AtomicU64::new(0),
            open_streams: AtomicUsize::new(0),
        });
        let counters = socket.counters();
        let endpoint = open_endpoint(&options, issuer, socket, &traffic)?;
        let traffic_thread = {
            let (server, endpoint, stop) =
                (Arc::clone(&server), endpoint.clone(), stop.subscribe());
            std::thread::Builder::new()
                .name("agent-traffic".into())
                .spawn(move || traffic.block_on(run_traffic(server, endpoint, stop)))?
        };
        Ok(Self {
            target: parts.target,
            announce: parts.announce,
            state: state_receiver,
            revision,
            newest_revision,
            counters,
            open_streams: server,
            endpoint,
            drain_deadline: options.drain_deadline,
            clock: options.clock,
            stop,
            threads: vec![control_thread, traffic_thread],
        })
    }

    /// Returns the state, which changes on its own with the backend server's health.
    pub fn state(&self) -> watch::Receiver<TargetState> {
        self.state.clone()
    }

    /// Returns what the tunnel socket has dropped.
    pub fn counters(&self) -> &SocketCounters {
        &self.counters
    }

    /// Returns state and load.
    pub async fn status(&self) -> Result<TargetStatus> {
        let status = self.target.ask(Status).await.ok().flatten();
        status.ok_or_else(|| Error::ended("target actor"))
    }

    /// Tells the agent which balancers are listed as live.
    pub async fn set_balancers(&self, balancers: Vec<ReturnBalancer>) -> Result<()> {
        let sent = self.announce.tell(SetBalancers(balancers)).await;
        sent.map_err(|_closed| Error::ended("announce actor"))
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
            .map_err(|_closed| Error::ended("target actor"))?;
        self.announce
            .tell(ReportNow)
            .await
            .map_err(|_closed| Error::ended("announce actor"))
    }

    /// Drains, waits until nothing runs any more or the drain deadline has passed, and stops.
    /// Returns what was cut, which is nothing unless the deadline has passed.
    pub async fn stop(self) -> Result<TargetStatus> {
        self.drain().await?;
        let give_up = self.clock.now() + self.drain_deadline;
        let last = loop {
            let status = self.status().await?;
            let may_exit = status.exit_in.is_some_and(|wait| wait.is_zero());
            if (may_exit && self.open_streams.count() == 0) || self.clock.now() >= give_up {
                break status;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        };
        let _sent = self.announce.ask(ReportGone).await;
        self.endpoint.close(0_u32.into(), b"drained");
        self.endpoint.wait_idle().await;
        let _stopped = self.target.stop_gracefully().await;
        self.target.wait_for_shutdown().await;
        self.kill();
        Ok(last)
    }

    /// Ends the agent at once, as a crash would.
    pub fn kill(self) {
        self.stop.set();
        for thread in self.threads {
            let _ended = thread.join();
        }
    }
}

/// What the announce actor needs besides the target actor, which does not run yet.
struct AnnounceSeed<'a> {
    options: &'a AgentOptions,
    returns: Arc<ReturnPath>,
    socket: Arc<TunnelSocket>,
    revision: watch::Receiver<Revision>,
    newest_revision: watch::Sender<Revision>,
}

impl AnnounceSeed<'_> {
    fn into_args(self) -> impl FnOnce(ActorRef<TargetActor>) -> AnnounceArgs + Send + 'static {
        let identity = self.options.identity.clone();
        let connections_max = self.options.admission.connection_limit();
        let balancers = self.options.balancers.clone();
        let clock = Arc::clone(&self.options.clock);
        let (returns, socket, revision) = (self.returns, self.socket, self.revision);
        let newest_revision = self.newest_revision;
        move |target| AnnounceArgs {
            identity,
            connections_max,
            balancers,
            revision,
            newest_revision,
            returns,
            socket,
            target,
            sequence: Arc::default(),
            clock,
        }
    }
}

async fn run_control(
    target_args: TargetArgs,
    announce_args: impl FnOnce(ActorRef<TargetActor>) -> AnnounceArgs,
    datagrams: mpsc::Receiver<crate::socket::ControlDatagram>,
    parts: SyncSender<ControlParts>,
    mut stop: watch::Receiver<bool>,
) {
    let supervisor = Supervisor::spawn(());
    let Ok(target) = supervisor.ask(StartTarget(target_args)).await else {
        return;
    };
    let announce_args = announce_args(target.clone());
    let Ok(announce) = supervisor.ask(StartAnnounce(announce_args)).await else {
        return;
    };
    let driver = tokio::spawn(drive_control(
        target.clone(),
        announce.clone(),
        datagrams,
        stop.clone(),
    ));
    let handed_out = parts.send(ControlParts { target, announce }).is_ok();
    if handed_out {
        let _stopped = stop.changed().await;
    }
    driver.abort();
}

async fn run_traffic<B: BackendServer + 'static>(
    server: Arc<Server<B>>,
    endpoint: Endpoint,
    mut stop: watch::Receiver<bool>,
) {
    let health = tokio::spawn(watch_health(
        Arc::clone(&server.backend),
        server.target.clone(),
    ));
    let serve = tokio::spawn(server.run(endpoint));
    let _stopped = stop.changed().await;
    serve.abort();
    health.abort();
}

/// Asks the backend server for its health and passes it on.
async fn watch_health<B: BackendServer>(backend: Arc<B>, target: ActorRef<TargetActor>) {
    loop {
        let is_ok = matches!(
            backend.health().await,
            Ok(BackendState::Ready | BackendState::Starting)
        );
        if target.tell(HealthAnswer { is_ok }).await.is_err() {
            return;
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}

fn open_endpoint(
    options: &AgentOptions,
    issuer: TokenIssuer,
    socket: Arc<TunnelSocket>,
    traffic: &Runtime,
) -> Result<Endpoint> {
    let transport = tls::transport_config(&options.transport)?;
    let server_config = tls::server_config(&options.certificate, transport)?;
    let mut endpoint_config = tls::endpoint_config(options.keys.keys().reset())?;
    endpoint_config.cid_generator(move || Box::new(issuer.clone()));
    let _entered = traffic.enter();
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
