//! The balancer, which receives the packets of callers and forwards them to agents.

mod agent_watch;
mod caller_packets;
mod config_watch;
mod evacuation_keys;
mod snapshot;
mod snapshot_fetch;
mod state_update;

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{
    Action, AgentDirectoryOptions, ArrivalTracker, BufferedPacket, Dispatcher, DispatcherOptions,
    Message, RouteConfig,
};
use cranberrypitch_net::daemon::Signal;
use cranberrypitch_net::store::ObservedStore;
use cranberrypitch_proto::relay;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, watch};

use self::agent_watch::{AgentWatchInputs, watch_agents};
use self::config_watch::{ConfigNotice, ConfigWatchInputs, watch_config};
use self::snapshot::SharedSnapshot;
use self::snapshot_fetch::{MissingState, SnapshotSources};
use self::state_update::StateUpdate;
use crate::daemon::{ActionExecutor, DaemonContext, Readiness, check_settings_file};
use crate::errors::Result;
use crate::io::sockets::{MAX_BATCH_DATAGRAMS, MAX_DATAGRAM_BYTES, bind, log_unreadable, receive};
use crate::log;
use crate::metrics::RelayMetrics;
use crate::platform::{Platform, StoreOptions};
use crate::settings::RelaySettings;
use crate::store::registration;

/// The tick interval while a flow waits for the answer of an agent.
const PENDING_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The tick interval otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum time between two turns of the event loop, so that a pause of the process shows in that time. A SYN counts
/// as fresh only if the process did not stand still for longer than the time in which its caller sends a copy.
const MAX_TURN_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum time for which a stopping balancer goes on forwarding. The platform probes readiness
/// twice a second and removes a balancer after two failed probes.
const MIN_STOP_TIME: Duration = Duration::from_millis(1700);

/// The time without packets of callers after which a stopping balancer exits.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// The maximum number of message batches read before a tick.
const MAX_TICK_BATCHES: usize = 8;

/// The capacity of the channel for state updates, in messages.
const UPDATE_QUEUE_LEN: usize = 16;

/// The capacity of the channel for notices to the watch on the configuration, in messages. Further ones
/// are dropped, as the next check of another balancer replaces them.
const NOTICE_QUEUE_LEN: usize = 16;

/// Runs a balancer until a signal stops it and packets of callers no longer arrive.
///
/// # Errors
///
/// Returns an error if an address of the settings can't be bound.
pub async fn run_balancer<P: Platform>(context: DaemonContext) -> Result<()> {
    let settings = &context.settings;
    let caller_socket = Arc::new(bind(settings.datagram_address)?);
    let peer_socket = Arc::new(bind(settings.balancer_address())?);
    let readiness = Readiness::default();
    readiness.serve::<P>(settings.readiness_address).await?;
    let agents_refresh = Arc::new(Notify::new());
    let config_read_request = Arc::new(Notify::new());
    let metrics = RelayMetrics::default();
    let (notice_sender, notices) = mpsc::channel(NOTICE_QUEUE_LEN);
    let now = context.clock.now();
    let options = dispatcher_options(settings);
    let domain = settings.failure_domain.clone();
    let caller_port = settings.datagram_address.port();
    let snapshot = SharedSnapshot::default();
    let store = ObservedStore::new(
        P::new_store(StoreOptions::new(settings.store_address)),
        metrics.clone(),
    );
    let watches = WatchInputs {
        store: Arc::new(store),
        agents_refresh: Arc::clone(&agents_refresh),
        config_read_request: Arc::clone(&config_read_request),
        notices,
        snapshot: snapshot.clone(),
        metrics: metrics.clone(),
    };
    let updates = spawn_watches::<P>(&context, watches);
    let mut balancer = Balancer::<P> {
        snapshot: snapshot.clone(),
        dispatcher: Dispatcher::new(options, domain),
        executor: ActionExecutor::new(
            Arc::clone(&peer_socket),
            Arc::clone(&caller_socket),
            None,
            caller_port,
            now,
        )
        .with_metrics(metrics)
        .with_agents_refresh(agents_refresh)
        .with_config_read_request(config_read_request),
        clock: Arc::clone(&context.clock),
        readiness,
        config_notices: notice_sender,
        buffer: vec![0; MAX_DATAGRAM_BYTES],
        arrivals: ArrivalTracker::new(now),
        platform: std::marker::PhantomData,
    };
    balancer
        .executor
        .serve_metrics(settings.metrics_address)
        .await;
    if let Some(address) = settings.snapshot_address {
        snapshot::serve(address, snapshot).await?;
    }
    balancer
        .run(context, &caller_socket, &peer_socket, updates)
        .await;
    Ok(())
}

fn dispatcher_options(settings: &RelaySettings) -> DispatcherOptions {
    let directory = AgentDirectoryOptions {
        max_flow_age: settings.flow_lifetime_s,
        ..AgentDirectoryOptions::default()
    };
    DispatcherOptions {
        directory,
        ..DispatcherOptions::default()
    }
}

/// The inputs of the tasks that watch the store and fetch snapshots.
struct WatchInputs<S> {
    store: Arc<ObservedStore<S, RelayMetrics>>,
    agents_refresh: Arc<Notify>,
    config_read_request: Arc<Notify>,
    notices: mpsc::Receiver<ConfigNotice>,
    snapshot: SharedSnapshot,
    metrics: RelayMetrics,
}

/// Spawns the tasks that watch the store and fetch snapshots. Returns the receiver of their updates.
fn spawn_watches<P: Platform>(
    context: &DaemonContext,
    inputs: WatchInputs<P::Store>,
) -> mpsc::Receiver<StateUpdate> {
    let (sender, receiver) = mpsc::channel(UPDATE_QUEUE_LEN);
    let (missing_sender, missing) = watch::channel(MissingState::default());
    let sources = SnapshotSources {
        seeds: context.settings.seed_addresses.clone(),
        port: context
            .settings
            .snapshot_address
            .map(|address| address.port()),
    };
    let snapshot_sender = sender.clone();
    tokio::spawn(async move {
        snapshot_fetch::fetch(sources, inputs.snapshot, snapshot_sender, missing).await;
    });
    let config_store = Arc::clone(&inputs.store);
    let config_inputs = ConfigWatchInputs {
        balancer: context.settings.balancer_address(),
        notices: inputs.notices,
        read_request: inputs.config_read_request,
        updates: sender.clone(),
        missing: missing_sender,
        clock: Arc::clone(&context.clock),
        metrics: inputs.metrics.clone(),
    };
    tokio::spawn(async move {
        if let Err(error) = watch_config::<P, _>(&*config_store, config_inputs).await {
            tracing::error!(target: log::TARGET, %error, "watch on the configuration not started");
        }
    });
    let store = inputs.store;
    let agent_inputs = AgentWatchInputs {
        updates: sender,
        refresh: inputs.agents_refresh,
        clock: Arc::clone(&context.clock),
        metrics: inputs.metrics,
    };
    tokio::spawn(async move {
        if let Err(error) = watch_agents(&*store, agent_inputs).await {
            tracing::error!(target: log::TARGET, %error, "watch on the list of agents not started");
        }
    });
    receiver
}

struct Balancer<P> {
    dispatcher: Dispatcher,
    executor: ActionExecutor,
    clock: Arc<dyn Clock>,
    readiness: Readiness,
    snapshot: SharedSnapshot,
    /// Passes notices to the watch on the configuration.
    config_notices: mpsc::Sender<ConfigNotice>,
    buffer: Vec<u8>,
    /// Since when the packets in the socket of callers can have arrived.
    arrivals: ArrivalTracker,
    platform: std::marker::PhantomData<P>,
}

/// The state of a graceful stop.
#[derive(Clone, Copy, Debug)]
struct GracefulStop {
    requested_at: Instant,
    deadline: Instant,
    last_packet_at: Instant,
}

impl GracefulStop {
    fn is_finished(&self, now: Instant) -> bool {
        let is_withdrawn = now.saturating_duration_since(self.requested_at) >= MIN_STOP_TIME;
        let is_idle = now.saturating_duration_since(self.last_packet_at) >= STOP_IDLE_TIMEOUT;
        now >= self.deadline || (is_withdrawn && is_idle)
    }
}

impl<P: Platform> Balancer<P> {
    async fn run(
        &mut self,
        mut context: DaemonContext,
        caller_socket: &UdpSocket,
        peer_socket: &UdpSocket,
        mut updates: mpsc::Receiver<StateUpdate>,
    ) {
        let mut stop: Option<GracefulStop> = None;
        let mut next_tick = tokio::time::Instant::now();
        loop {
            let tick_interval = if self.dispatcher.has_pending_flows() {
                PENDING_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            next_tick = next_tick.min(tokio::time::Instant::now() + tick_interval);
            let next_turn = next_tick.min(tokio::time::Instant::now() + MAX_TURN_INTERVAL);
            tokio::select! {
                result = caller_socket.readable() => {
                    log_unreadable(result);
                    if self.read_callers(caller_socket) && let Some(stop) = &mut stop {
                        stop.last_packet_at = self.clock.now();
                    }
                }
                result = peer_socket.readable() => {
                    log_unreadable(result);
                    self.read_peers(peer_socket);
                }
                Some(update) = updates.recv() => self.on_update(update),
                () = tokio::time::sleep_until(next_turn) => {
                    if next_tick <= next_turn {
                        next_tick = tokio::time::Instant::now() + tick_interval;
                        self.on_tick(peer_socket);
                    }
                }
                signal = context.signals.next() => match signal {
                    Signal::ReloadKeys => check_settings_file(&context.settings_file),
                    Signal::Terminate | Signal::Interrupt => {
                        let now = self.clock.now();
                        let grace = context.settings.stop_time();
                        stop.get_or_insert(GracefulStop {
                            requested_at: now,
                            deadline: now + grace,
                            last_packet_at: now,
                        });
                        tracing::info!(target: log::TARGET, event = "StopRequested", signal = signal.name());
                    }
                },
            }
            if self.is_caller_check_due()
                && self.check_callers(caller_socket)
                && let Some(stop) = &mut stop
            {
                stop.last_packet_at = self.clock.now();
            }
            self.readiness
                .set(stop.is_none() && self.dispatcher.is_ready());
            if stop.is_some_and(|stop| stop.is_finished(self.clock.now())) {
                return;
            }
        }
    }

    /// Reads a batch of messages of agents. Returns whether there may be more.
    fn read_peers(&mut self, socket: &UdpSocket) -> bool {
        let now = self.clock.now();
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((datagram, peer)) = receive(socket, &mut self.buffer) else {
                return false;
            };
            match relay::decode(datagram) {
                Ok(Message::ConfigCheck { check, evacuations }) => {
                    self.executor.metrics.add_config_check();
                    let actions = self.dispatcher.on_evacuations(evacuations, now);
                    self.executor.execute::<P>(actions, now);
                    self.notify_config_watch(ConfigNotice::Checked(check));
                }
                Ok(message) => {
                    let actions = on_message::<P>(&mut self.dispatcher, peer, message, now);
                    self.executor.execute::<P>(actions, now);
                }
                Err(error) => {
                    tracing::debug!(target: log::TARGET, %peer, %error, "malformed message of an agent dropped");
                }
            }
        }
        true
    }

    fn on_update(&mut self, update: StateUpdate) {
        let now = self.clock.now();
        let actions = match update {
            StateUpdate::Config(config) => self.on_config(config),
            StateUpdate::Evacuations(read) => self.dispatcher.on_evacuation_read(read, now),
            StateUpdate::ConfigReadUpTo(as_of) => self.dispatcher.on_config_read(as_of),
            StateUpdate::ConfigChecked(check) => self.dispatcher.announce_config_check(check),
            StateUpdate::Agents(records) => self.dispatcher.on_agent_list(records, now),
            StateUpdate::Snapshot(snapshot) => {
                if !self.dispatcher.is_ready() {
                    tracing::info!(target: log::TARGET, event = "SnapshotTaken", agents = snapshot.agents.len());
                }
                let mut actions = self.dispatcher.on_evacuations(snapshot.evacuations, now);
                actions.extend(self.on_config(snapshot.config));
                if let Some(version) = self.dispatcher.routes().version() {
                    self.notify_config_watch(ConfigNotice::InForce(version));
                }
                actions.extend(self.dispatcher.on_snapshot(snapshot.agents, now));
                actions
            }
            StateUpdate::AgentsOfBalancer(records) => self.dispatcher.on_snapshot(records, now),
            StateUpdate::AgentRegistered(record) => self.dispatcher.on_registered(&record, now),
            StateUpdate::AgentUnreadable(key) => {
                if let Some(address) = registration::agent_address(&key) {
                    self.dispatcher.on_unreadable_registration(address);
                }
                Vec::new()
            }
            StateUpdate::AgentUnregistered(key) => {
                if let Some(address) = registration::agent_address(&key) {
                    self.dispatcher.on_unregistered(address, now);
                }
                Vec::new()
            }
            StateUpdate::AgentsReadUpTo(read_started_at) => {
                self.dispatcher.on_agents_refreshed(read_started_at, now)
            }
        };
        self.executor.execute::<P>(actions, now);
        for BufferedPacket { packet, arrival } in self.dispatcher.take_buffered_packets(now) {
            self.on_packet(&packet, arrival);
        }
    }

    fn notify_config_watch(&self, notice: ConfigNotice) {
        if let Err(error) = self.config_notices.try_send(notice) {
            tracing::debug!(target: log::TARGET, %error, "notice to the watch on the configuration dropped");
        }
    }

    fn on_config(&mut self, config: RouteConfig) -> Vec<Action<'static>> {
        let actions = self.dispatcher.on_config(&config);
        if self.dispatcher.routes().version() == Some(config.version) {
            self.snapshot.set_config(config);
        }
        actions
    }

    /// Advances the timers of the dispatcher. Queued messages are read first, so that a balancer that
    /// was delayed does not count answers in its receive buffer as missing.
    fn on_tick(&mut self, peer_socket: &UdpSocket) {
        let now = self.clock.now();
        for _ in 0..MAX_TICK_BATCHES {
            if !self.read_peers(peer_socket) {
                break;
            }
        }
        let actions = self.dispatcher.on_tick(now);
        self.executor.execute::<P>(actions, now);
        self.executor.summarize(now);
        let version = self.dispatcher.routes().version();
        let (flows, agents) = (
            self.dispatcher.flow_count(),
            self.dispatcher.directory().len(),
        );
        let list_age = self.dispatcher.agent_list_age(now);
        self.executor.metrics.set_balancer(flows, agents, version);
        self.executor.metrics.set_agent_list_age(list_age);
        let evacuations = self.dispatcher.evacuations();
        let evacuated_domains = evacuations.failure_domains.len();
        self.executor.metrics.set_evacuations(evacuated_domains);
        self.snapshot.set_evacuations(evacuations);
        let ejected = self.dispatcher.ejected_targets();
        self.executor.metrics.set_ejected_targets(ejected);
        self.snapshot.set_agents(|| self.dispatcher.snapshot(), now);
    }
}

fn on_message<P: Platform>(
    dispatcher: &mut Dispatcher,
    agent: SocketAddrV4,
    message: Message<'_>,
    now: Instant,
) -> Vec<Action<'static>> {
    match message {
        Message::OpenAccepted { flow } => {
            dispatcher.on_open_accepted(agent, flow, now);
            Vec::new()
        }
        Message::OpenQueued { flow } => {
            dispatcher.on_open_queued(agent, flow, now);
            Vec::new()
        }
        Message::OpenRefused { flow, cause } => dispatcher.on_open_refused(agent, flow, cause, now),
        Message::LookupReply { flow, answer } => {
            dispatcher.on_lookup_reply(agent, flow, answer, now)
        }
        Message::LookupBatchReply(answers) => answers
            .iter()
            .flat_map(|(flow, answer)| dispatcher.on_lookup_reply(agent, *flow, *answer, now))
            .collect(),
        Message::PacketReturned { packet } => match P::parse_header(&packet) {
            Ok(header) => dispatcher.on_packet_returned(agent, &header, &packet, now),
            Err(error) => {
                tracing::debug!(target: log::TARGET, %agent, %error, "malformed returned packet dropped");
                Vec::new()
            }
        },
        Message::Report {
            record,
            load,
            evacuations,
        } if record.address == agent => {
            let mut actions = dispatcher.on_report(&record, load, now);
            actions.extend(dispatcher.on_evacuation_report(agent, evacuations));
            actions
        }
        Message::Open { .. }
        | Message::Forward { .. }
        | Message::Lookup { .. }
        | Message::LookupBatch(_)
        | Message::AgentList(_)
        | Message::BalancerQuery
        | Message::BalancerList(_)
        | Message::ConfigCheck { .. }
        | Message::Evacuations(_)
        | Message::Report { .. } => {
            tracing::debug!(target: log::TARGET, %agent, "message that balancers do not accept dropped");
            Vec::new()
        }
    }
}
