//! The balancer: receives packets of callers and passes them to agents.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{Action, Dispatcher, DispatcherOptions, Message, RouteConfig};
use cranberrypitch_net::daemon::Signal;
use cranberrypitch_net::store::ObservedStore;
use cranberrypitch_proto::relay;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

use crate::daemon::{Outlet, Readiness, Startup, reload};
use crate::errors::Result;
use crate::follow::{Update, follow_agents, follow_config};
use crate::log;
use crate::metrics::RelayMetrics;
use crate::platform::{Platform, StoreOptions};
use crate::registration;
use crate::snapshot::{self, SharedSnapshot};
use crate::sockets::{BATCH, MAX_DATAGRAM_BYTES, bind, receive};

/// The time between two ticks while a flow waits for an answer.
const SHORT_TICK: Duration = Duration::from_millis(20);

/// The time between two ticks otherwise.
const LONG_TICK: Duration = Duration::from_millis(250);

/// How long a leaving balancer forwards at least: the platform asks twice a second whether it is
/// ready, and takes it out after two misses.
const STOP_NOTICE: Duration = Duration::from_millis(1700);

/// How long no packet must arrive before a leaving balancer ends.
const STOP_QUIET: Duration = Duration::from_millis(600);

/// The part of the grace period that is left for the end of the process.
const STOP_RESERVE: Duration = Duration::from_millis(700);

/// Batches of messages that are read before a tick at most.
const TICK_BATCHES: usize = 8;

/// Updates of the store that wait to be taken in.
const UPDATE_QUEUE: usize = 16;

/// Runs a balancer until it is asked to stop and callers' packets no longer arrive.
pub async fn run_balancer<P: Platform>(startup: Startup) -> Result<()> {
    let settings = &startup.settings;
    let callers = Arc::new(bind(settings.datagram_address)?);
    let peers = Arc::new(bind(settings.balancer_address())?);
    let readiness = Readiness::default();
    readiness.serve::<P>(settings.readiness_address).await?;
    let list_wanted = Arc::new(Notify::new());
    let metrics = RelayMetrics::default();
    let updates = follow::<P>(&startup, &list_wanted, metrics.clone());
    let now = startup.clock.now();
    let options = DispatcherOptions::default();
    let domain = settings.failure_domain.clone();
    let caller_port = settings.datagram_address.port();
    let snapshot = SharedSnapshot::default();
    let mut balancer = Balancer::<P> {
        snapshot: snapshot.clone(),
        dispatcher: Dispatcher::new(options, domain),
        outlet: Outlet::new(
            Arc::clone(&peers),
            Arc::clone(&callers),
            None,
            caller_port,
            now,
        )
        .with_metrics(metrics)
        .with_list_wanted(list_wanted),
        clock: Arc::clone(&startup.clock),
        readiness,
        buffer: vec![0; MAX_DATAGRAM_BYTES],
        platform: std::marker::PhantomData,
    };
    balancer
        .outlet
        .serve_metrics(settings.metrics_address)
        .await;
    if let Some(address) = settings.snapshot_address {
        snapshot::serve(address, snapshot).await?;
    }
    balancer.run(startup, &callers, &peers, updates).await;
    Ok(())
}

fn follow<P: Platform>(
    startup: &Startup,
    list_wanted: &Arc<Notify>,
    metrics: RelayMetrics,
) -> mpsc::Receiver<Update> {
    let (sender, receiver) = mpsc::channel(UPDATE_QUEUE);
    let store = P::store(StoreOptions::new(startup.settings.store_address));
    let store = Arc::new(ObservedStore::new(store, metrics));
    let (list_wanted, clock) = (Arc::clone(list_wanted), Arc::clone(&startup.clock));
    let (config_store, config_sender) = (Arc::clone(&store), sender.clone());
    let (seeds, snapshot_sender) = (startup.settings.seed_addresses.clone(), sender.clone());
    let is_store_lost = Arc::new(AtomicBool::new(false));
    let watched = Arc::clone(&is_store_lost);
    tokio::spawn(async move { snapshot::fetch(&seeds, snapshot_sender, &watched).await });
    tokio::spawn(async move {
        if let Err(error) =
            follow_config::<P, _>(&*config_store, config_sender, is_store_lost).await
        {
            tracing::error!(target: log::TARGET, %error, "configuration not followed");
        }
    });
    tokio::spawn(async move {
        if let Err(error) = follow_agents(&*store, sender, list_wanted, clock).await {
            tracing::error!(target: log::TARGET, %error, "agents not followed");
        }
    });
    receiver
}

struct Balancer<P> {
    dispatcher: Dispatcher,
    outlet: Outlet,
    clock: Arc<dyn Clock>,
    readiness: Readiness,
    snapshot: SharedSnapshot,
    buffer: Vec<u8>,
    platform: std::marker::PhantomData<P>,
}

/// A stop that was asked for.
#[derive(Clone, Copy, Debug)]
struct Stop {
    asked_at: Instant,
    end_by: Instant,
    heard_at: Instant,
}

impl Stop {
    fn is_over(&self, now: Instant) -> bool {
        let is_noticed = now.saturating_duration_since(self.asked_at) >= STOP_NOTICE;
        let is_quiet = now.saturating_duration_since(self.heard_at) >= STOP_QUIET;
        now >= self.end_by || (is_noticed && is_quiet)
    }
}

impl<P: Platform> Balancer<P> {
    async fn run(
        &mut self,
        mut startup: Startup,
        callers: &UdpSocket,
        peers: &UdpSocket,
        mut updates: mpsc::Receiver<Update>,
    ) {
        let mut stop: Option<Stop> = None;
        let mut next_tick = tokio::time::Instant::now();
        loop {
            let tick = if self.dispatcher.has_pending_flows() {
                SHORT_TICK
            } else {
                LONG_TICK
            };
            next_tick = next_tick.min(tokio::time::Instant::now() + tick);
            tokio::select! {
                result = callers.readable() => {
                    log_unreadable(result);
                    if self.read_callers(callers) && let Some(stop) = &mut stop {
                        stop.heard_at = self.clock.now();
                    }
                }
                result = peers.readable() => {
                    log_unreadable(result);
                    self.read_peers(peers);
                }
                Some(update) = updates.recv() => self.on_update(update),
                () = tokio::time::sleep_until(next_tick) => {
                    next_tick = tokio::time::Instant::now() + tick;
                    self.on_tick(peers);
                }
                signal = startup.signals.next() => match signal {
                    Signal::ReloadKeys => reload(&startup.settings_file),
                    Signal::Terminate | Signal::Interrupt => {
                        let now = self.clock.now();
                        let grace = startup.settings.stop_grace_s.saturating_sub(STOP_RESERVE);
                        stop.get_or_insert(Stop { asked_at: now, end_by: now + grace, heard_at: now });
                        tracing::info!(target: log::TARGET, event = "StopRequested", signal = signal.name());
                    }
                },
            }
            self.readiness
                .set(stop.is_none() && self.dispatcher.is_ready());
            if stop.is_some_and(|stop| stop.is_over(self.clock.now())) {
                return;
            }
        }
    }

    fn read_callers(&mut self, socket: &UdpSocket) -> bool {
        let now = self.clock.now();
        let mut is_any = false;
        let mut buffer = std::mem::take(&mut self.buffer);
        for _ in 0..BATCH {
            let Some((packet, _)) = receive(socket, &mut buffer) else {
                break;
            };
            is_any = true;
            self.on_packet(packet, now);
        }
        self.buffer = buffer;
        is_any
    }

    /// Reads messages of agents. Returns whether there may be more.
    fn read_peers(&mut self, socket: &UdpSocket) -> bool {
        let now = self.clock.now();
        for _ in 0..BATCH {
            let Some((datagram, peer)) = receive(socket, &mut self.buffer) else {
                return false;
            };
            match relay::decode(datagram) {
                Ok(message) => {
                    let actions = on_message::<P>(&mut self.dispatcher, peer, message, now);
                    self.outlet.perform::<P>(actions, now);
                }
                Err(error) => {
                    tracing::debug!(target: log::TARGET, %peer, %error, "message refused");
                }
            }
        }
        true
    }

    fn on_update(&mut self, update: Update) {
        let now = self.clock.now();
        let actions = match update {
            Update::Config(config) => self.on_config(config),
            Update::Agents(records) => self.dispatcher.on_agent_list(records, now),
            Update::Snapshot(snapshot) => {
                if !self.dispatcher.is_ready() {
                    tracing::info!(target: log::TARGET, event = "SnapshotTaken", agents = snapshot.agents.len());
                }
                let mut actions = self.on_config(snapshot.config);
                actions.extend(self.dispatcher.on_snapshot(snapshot.agents, now));
                actions
            }
            Update::Registered(record) => self.dispatcher.on_registered(&record, now),
            Update::Unregistered(key) => {
                if let Some(address) = registration::address_of(&key) {
                    self.dispatcher.on_unregistered(address, now);
                }
                Vec::new()
            }
            Update::ListRead(as_of) => self.dispatcher.on_agents_refreshed(as_of, now),
        };
        self.outlet.perform::<P>(actions, now);
        for packet in self.dispatcher.take_buffered_packets() {
            self.on_packet(&packet, now);
        }
    }

    fn on_config(&mut self, config: RouteConfig) -> Vec<Action<'static>> {
        let actions = self.dispatcher.on_config(&config);
        if self.dispatcher.routes().version() == Some(config.version) {
            self.snapshot.set_config(config);
        }
        actions
    }

    fn on_packet(&mut self, packet: &[u8], now: Instant) {
        match P::read_head(packet) {
            Ok(head) => {
                let actions = self.dispatcher.on_packet(&head, packet, now);
                self.outlet.perform::<P>(actions, now);
            }
            Err(error) => tracing::debug!(target: log::TARGET, %error, "packet refused"),
        }
    }

    /// Lets time pass. Answers that have arrived are read first, so that a balancer that was held up
    /// does not take agents for silent.
    fn on_tick(&mut self, peers: &UdpSocket) {
        let now = self.clock.now();
        for _ in 0..TICK_BATCHES {
            if !self.read_peers(peers) {
                break;
            }
        }
        let actions = self.dispatcher.on_tick(now);
        self.outlet.perform::<P>(actions, now);
        self.outlet.summarize(now);
        let version = self.dispatcher.routes().version();
        let (flows, agents) = (
            self.dispatcher.flow_count(),
            self.dispatcher.directory().len(),
        );
        self.outlet.metrics.set_balancer(flows, agents, version);
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
        Message::PacketReturned { packet } => match P::read_head(&packet) {
            Ok(head) => dispatcher.on_packet_returned(agent, &head, &packet, now),
            Err(error) => {
                tracing::debug!(target: log::TARGET, %agent, %error, "returned packet refused");
                Vec::new()
            }
        },
        Message::Report { record, load } if record.address == agent => {
            dispatcher.on_report(&record, load, now)
        }
        Message::Open { .. }
        | Message::Forward { .. }
        | Message::Lookup { .. }
        | Message::LookupBatch(_)
        | Message::AgentList(_)
        | Message::BalancerQuery
        | Message::BalancerList(_)
        | Message::Report { .. } => {
            tracing::debug!(target: log::TARGET, %agent, "message not meant for a balancer");
            Vec::new()
        }
    }
}

/// A socket that can't be waited on is read at the next tick.
pub(crate) fn log_unreadable(result: std::io::Result<()>) {
    if let Err(error) = result {
        tracing::warn!(target: log::TARGET, %error, "socket not readable");
    }
}
