//! The agent, which relays all packets of the backend server on its VM.

mod target_check;

use std::marker::PhantomData;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::Bytes;
use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{
    Action, AgentIdentity, AgentRecord, FlowAgent, FlowAgentOptions, Message, NumberedRecord,
    PacketFlags,
};
use cranberrypitch_net::daemon::{Signal, new_incarnation};
use cranberrypitch_net::store::ObservedStore;
use cranberrypitch_proto::relay;
use hyper::StatusCode;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use self::target_check::{TargetCheck, check_target};
use crate::daemon::{ActionExecutor, DaemonContext, Readiness, check_settings_file};
use crate::errors::{Error, Result};
use crate::io::http_server::{self, Call};
use crate::io::sockets::{MAX_BATCH_DATAGRAMS, MAX_DATAGRAM_BYTES, bind, log_unreadable, receive};
use crate::log;
use crate::metrics::RelayMetrics;
use crate::platform::{Platform, StoreOptions, TargetRequest};
use crate::settings::{RelaySettings, TargetSettings};
use crate::store::registration::{Registration, RegistrationOptions, RegistrationStatus};

/// The tick interval. It is shorter than the interval of load reports.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The tick interval while requests wait at the agent. Their turns are due when the target answers; ticks
/// only end waits that no answer ends, and the objectives of requests are at least 200 ms.
const WAITING_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of the check of the target when the agent stops.
const STOP_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// The capacity of the channel for requests of the target, in requests.
const REQUEST_QUEUE_LEN: usize = 16;

/// Runs an agent until a signal stops it.
///
/// # Errors
///
/// Returns an error if the settings have no target or an address can't be bound.
pub async fn run_agent<P: Platform>(context: DaemonContext) -> Result<()> {
    let settings = &context.settings;
    let Some(target) = settings.target.clone() else {
        return Err(Error::settings(&"target: required for an agent"));
    };
    let now = context.clock.now();
    let peer_socket = Arc::new(bind(settings.datagram_address)?);
    let outbound_socket = Arc::new(bind(target.outbound_address)?);
    let readiness = Readiness::default();
    readiness.serve::<P>(settings.readiness_address).await?;
    readiness.set(true);
    let requests = serve_target_requests::<P>(target.status_address).await?;
    let identity = AgentIdentity {
        address: settings.datagram_address,
        service: target.service.clone(),
        failure_domain: settings.failure_domain.clone(),
        incarnation: new_incarnation(&*context.clock),
        started_unix_ms: unix_time_ms(&*context.clock),
        seed_balancers: settings.seed_balancers(),
    };
    let agent = FlowAgent::new(flow_agent_options(settings), identity, now);
    let record = agent.record(now);
    let metrics = RelayMetrics::default();
    let (record_sender, registration, registration_status) =
        spawn_registration::<P>(settings, &record, metrics.clone())?;
    let target_socket = (Arc::clone(&outbound_socket), target.backend_address);
    let caller_port = settings.datagram_address.port();
    let mut daemon = AgentDaemon::<P> {
        agent,
        executor: ActionExecutor::new(
            Arc::clone(&peer_socket),
            Arc::clone(&peer_socket),
            Some(target_socket),
            caller_port,
            now,
        )
        .with_metrics(metrics),
        clock: Arc::clone(&context.clock),
        record_sender: Some(record_sender),
        registration: Some(registration),
        registration_status,
        buffer: vec![0; MAX_DATAGRAM_BYTES],
        platform: PhantomData,
    };
    daemon
        .executor
        .serve_metrics(settings.metrics_address)
        .await;
    daemon
        .run(context, &peer_socket, &outbound_socket, requests, &target)
        .await;
    Ok(())
}

fn flow_agent_options(settings: &RelaySettings) -> FlowAgentOptions {
    let options = FlowAgentOptions {
        flow_lifetime: settings.flow_lifetime_s,
        ..FlowAgentOptions::default()
    };
    options.with_status_timeouts(settings.address_reuse_s, settings.status_interval_ms)
}

/// Waits until the registration task has ended. Does not return after that.
async fn wait_for_end(registration: &mut Option<JoinHandle<()>>) {
    let Some(task) = registration else {
        return std::future::pending().await;
    };
    if let Err(error) = task.await {
        tracing::warn!(target: log::TARGET, %error, "registration task panicked");
    }
    *registration = None;
}

type RecordSender = watch::Sender<Option<NumberedRecord>>;

type StatusReceiver = watch::Receiver<RegistrationStatus>;

/// Waits until the status of the registration changes. Does not return after the end of its task.
async fn wait_for_change(status: &mut StatusReceiver) {
    if status.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Spawns the task that keeps the registration of the agent. Returns the sender of its records and the receiver
/// of its status.
fn spawn_registration<P: Platform>(
    settings: &RelaySettings,
    record: &AgentRecord,
    metrics: RelayMetrics,
) -> Result<(RecordSender, JoinHandle<()>, StatusReceiver)> {
    let (sender, receiver) = watch::channel(None);
    let (status_sender, status) = watch::channel(RegistrationStatus::default());
    let store = ObservedStore::new(
        P::new_store(StoreOptions::new(settings.store_address)),
        metrics,
    );
    let record = record.clone();
    let options = RegistrationOptions {
        lease_min: settings.lease_min_ms,
        stopped_ttl: settings.flow_lifetime_s,
        stop_timeout: settings.stop_time(),
    };
    // An invalid key must stop the agent, which the task could not do.
    crate::store::registration::store_key(&record)?;
    let task = tokio::spawn(async move {
        match Registration::try_new(&store, &record, options, status_sender) {
            Ok(registration) => registration.run(receiver).await,
            Err(error) => tracing::error!(target: log::TARGET, %error, "registration not started"),
        }
    });
    Ok((sender, task, status))
}

/// A request of the target and the channel that acknowledges it.
type PendingRequest = (TargetRequest, oneshot::Sender<()>);

/// Serves the HTTP requests of the target. Each is answered after the agent has handled it.
async fn serve_target_requests<P: Platform>(
    address: SocketAddrV4,
) -> Result<mpsc::Receiver<PendingRequest>> {
    let (sender, receiver) = mpsc::channel(REQUEST_QUEUE_LEN);
    http_server::serve(address, move |call: Call| {
        let sender = sender.clone();
        async move {
            match P::parse_target_request(&call.method, &call.path, &call.body) {
                Ok(request) => (dispatch(&sender, request).await, Bytes::from_static(b"{}")),
                Err(error) => {
                    tracing::warn!(target: log::TARGET, event = "CallRefused", path = %call.path, %error);
                    (StatusCode::BAD_REQUEST, Bytes::new())
                }
            }
        }
    })
    .await?;
    Ok(receiver)
}

/// Sends a request to the agent and waits until it is handled. Returns the status of the answer.
async fn dispatch(sender: &mpsc::Sender<PendingRequest>, request: TargetRequest) -> StatusCode {
    let (acknowledge, acknowledged) = oneshot::channel();
    if sender.send((request, acknowledge)).await.is_ok() && acknowledged.await.is_ok() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

struct AgentDaemon<P> {
    agent: FlowAgent,
    executor: ActionExecutor,
    clock: Arc<dyn Clock>,
    /// The sender of the records to write; none while the agent stops, which ends the registration.
    record_sender: Option<RecordSender>,
    /// The task that keeps the registration, until it has ended.
    registration: Option<JoinHandle<()>>,
    registration_status: StatusReceiver,
    buffer: Vec<u8>,
    platform: PhantomData<P>,
}

impl<P: Platform> AgentDaemon<P> {
    /// Runs until a signal stops the agent. It goes on serving until its registration shows the stop, so
    /// that balancers can tell a stop from a failure.
    async fn run(
        &mut self,
        mut context: DaemonContext,
        peer_socket: &UdpSocket,
        outbound_socket: &UdpSocket,
        mut requests: mpsc::Receiver<PendingRequest>,
        target_settings: &TargetSettings,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut waiting_ticks = tokio::time::interval(WAITING_TICK_INTERVAL);
        waiting_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let target_check = check_target(target_settings.backend_address);
        tokio::pin!(target_check);
        let mut is_target_checked = false;
        loop {
            tokio::select! {
                result = &mut target_check, if !is_target_checked => {
                    is_target_checked = true;
                    self.on_target_checked(result);
                }
                result = peer_socket.readable() => {
                    log_unreadable(result);
                    self.read_peers(peer_socket);
                }
                result = outbound_socket.readable() => {
                    log_unreadable(result);
                    self.read_target(outbound_socket, target_settings);
                }
                Some((request, acknowledge)) = requests.recv() => {
                    self.on_request(request);
                    // A target that has closed the connection repeats its request.
                    let _ = acknowledge.send(());
                }
                _ = ticks.tick() => self.on_tick(),
                _ = waiting_ticks.tick(), if self.agent.has_waiting_requests() => self.on_tick(),
                signal = context.signals.next() => match signal {
                    Signal::ReloadKeys => check_settings_file(&context.settings_file),
                    Signal::Terminate | Signal::Interrupt => {
                        tracing::info!(target: log::TARGET, event = "StopRequested", signal = signal.name());
                        self.check_target_before_stop(target_settings.backend_address).await;
                        self.on_stop();
                    }
                },
                () = wait_for_change(&mut self.registration_status) => self.on_registration_status(),
                () = wait_for_end(&mut self.registration) => {}
            }
            if self.record_sender.is_none() && self.registration.is_none() {
                return;
            }
        }
    }

    /// Checks whether a target that has not reported is there. Otherwise balancers would await the next agent for
    /// the maximum age of a flow.
    async fn check_target_before_stop(&mut self, target: SocketAddrV4) {
        if !self.agent.awaits_first_report() {
            return;
        }
        // The first check is out of date, and the second one may have no result.
        self.agent.on_target_maybe_present();
        if let Ok(result) = timeout(STOP_CHECK_TIMEOUT, check_target(target)).await {
            self.on_target_checked(result);
        }
    }

    fn on_target_checked(&mut self, result: TargetCheck) {
        if result == TargetCheck::Refused {
            let now = self.clock.now();
            let actions = self.agent.on_target_absent();
            self.executor.execute::<P>(actions, now);
        }
    }

    fn read_peers(&mut self, socket: &UdpSocket) {
        let now = self.clock.now();
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((datagram, balancer)) = receive(socket, &mut self.buffer) else {
                return;
            };
            match relay::decode(datagram) {
                Ok(message) => {
                    on_message::<P>(&mut self.agent, &mut self.executor, balancer, &message, now);
                }
                Err(error) => {
                    tracing::debug!(target: log::TARGET, %balancer, %error, "malformed message of a balancer or agent dropped");
                }
            }
        }
    }

    fn read_target(&mut self, socket: &UdpSocket, settings: &TargetSettings) {
        let now = self.clock.now();
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let received = receive(socket, &mut self.buffer);
            let Some((len, sender)) = received.map(|(packet, sender)| (packet.len(), sender))
            else {
                return;
            };
            let packet = &mut self.buffer[..len];
            if sender.ip() != settings.backend_address.ip() {
                tracing::debug!(target: log::TARGET, %sender, "packet from an address other than the target dropped");
                continue;
            }
            match P::parse_header(packet) {
                Ok(header) => {
                    if header.flags.contains(PacketFlags::BOUNCED) {
                        P::clear_bounced_flag(packet);
                    }
                    if let Some(status) = P::response_status(packet) {
                        self.agent.on_response(status, now);
                    }
                    let actions = self.agent.on_target_packet(&header, packet, now);
                    self.executor.execute::<P>(actions, now);
                }
                Err(error) => {
                    tracing::debug!(target: log::TARGET, %error, "malformed packet of the target dropped");
                }
            }
        }
    }

    fn on_request(&mut self, request: TargetRequest) {
        let now = self.clock.now();
        let actions = match request {
            TargetRequest::Status(report) => self.agent.on_status_report(report, now),
            TargetRequest::Exit(id) => self.agent.on_target_exit(&id, now),
        };
        self.executor.execute::<P>(actions, now);
        self.send_record(now);
    }

    fn on_stop(&mut self) {
        let now = self.clock.now();
        let actions = self.agent.on_stop(now);
        self.executor.execute::<P>(actions, now);
        self.send_record(now);
        self.record_sender = None;
    }

    /// Passes the record of the agent to its registration, if it has changed.
    fn send_record(&mut self, now: Instant) {
        let Some(sender) = &self.record_sender else {
            return;
        };
        // The agent counts the record as stored from here on, whether or not it is sent.
        let next = self.agent.registration_record(now);
        sender.send_if_modified(|current| {
            let is_changed = current.as_ref().is_none_or(|current| {
                let (current, record) = (&current.record, &next.record);
                current.state != record.state
                    || current.service != record.service
                    || current.slots != record.slots
                    || current.is_agent_stopping != record.is_agent_stopping
                    || current.held_flows != record.held_flows
            });
            if is_changed {
                *current = Some(next);
            }
            is_changed
        });
    }

    /// Passes what the store holds to the agent.
    fn on_registration_status(&mut self) {
        let now = self.clock.now();
        let status = *self.registration_status.borrow_and_update();
        self.agent.set_registered(status.is_registered);
        self.agent.set_written_record(status.written_record);
        if status.is_first_attempt_over {
            let actions = self.agent.on_first_write_ended(now);
            self.executor.execute::<P>(actions, now);
        }
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
        let actions = self.agent.on_tick(now);
        self.executor.execute::<P>(actions, now);
        let flows = self.agent.flow_count();
        let running = self.agent.running_requests(now);
        let waiting = self.agent.waiting_requests();
        self.executor.metrics.set_agent(flows, running, waiting);
        self.executor.summarize(now);
    }
}

fn on_message<P: Platform>(
    agent: &mut FlowAgent,
    executor: &mut ActionExecutor,
    peer: SocketAddrV4,
    message: &Message<'_>,
    now: Instant,
) {
    let packet = match message {
        Message::Open { packet, .. } | Message::Forward { packet } => packet,
        Message::Lookup { flow, ack_number } => {
            let actions = agent.on_lookup(peer, *flow, *ack_number, now);
            return executor.execute::<P>(actions, now);
        }
        Message::LookupBatch(queries) => {
            let actions = agent.on_lookup_batch(peer, queries, now);
            return executor.execute::<P>(actions, now);
        }
        Message::AgentList(agents) => {
            return executor.execute::<P>(agent.on_agent_list(agents), now);
        }
        Message::BalancerQuery => {
            return executor.execute::<P>(agent.on_balancer_query(peer), now);
        }
        Message::ConfigCheck { check, evacuations } => {
            let actions = agent.on_config_check(peer, check, evacuations, now);
            return executor.execute::<P>(actions, now);
        }
        Message::Evacuations(set) => {
            return executor.execute::<P>(agent.on_evacuations(set.clone()), now);
        }
        Message::BalancerList(balancers) => {
            let actions = agent.on_balancer_list(balancers, now);
            return executor.execute::<P>(actions, now);
        }
        _ => {
            tracing::debug!(target: log::TARGET, balancer = %peer, "message that agents do not accept dropped");
            return;
        }
    };
    let header = match P::parse_header(packet) {
        Ok(header) => header,
        Err(error) => {
            tracing::debug!(target: log::TARGET, balancer = %peer, %error, "malformed packet of a caller dropped");
            return;
        }
    };
    let actions: Vec<Action<'_>> = match message {
        Message::Open { params, .. } => agent.on_open(peer, *params, &header, packet, now),
        _ => agent.on_forward(peer, &header, packet, now),
    };
    executor.execute::<P>(actions, now);
}

/// Returns the Unix time in milliseconds, the unit in which targets report their start.
fn unix_time_ms(clock: &dyn Clock) -> u64 {
    let elapsed = clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
