//! The agent: the only way to the backend server beside it.

use std::marker::PhantomData;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::Bytes;
use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{
    Action, AgentIdentity, AgentRecord, Endpoint, EndpointOptions, Message, PacketFlags,
};
use cranberrypitch_net::daemon::{Signal, new_incarnation};
use cranberrypitch_net::store::ObservedStore;
use cranberrypitch_proto::relay;
use hyper::StatusCode;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::balancer::log_unreadable;
use crate::daemon::{Outlet, Readiness, Startup, reload};
use crate::errors::{Error, Result};
use crate::http_server::{self, Call};
use crate::log;
use crate::metrics::RelayMetrics;
use crate::platform::{AgentCall, Platform, StoreOptions};
use crate::registration::Registration;
use crate::settings::{RelaySettings, TargetSettings};
use crate::sockets::{BATCH, MAX_DATAGRAM_BYTES, bind, receive};

/// The time between two ticks, a part of the time between two reports.
const TICK: Duration = Duration::from_millis(100);

/// Calls of the target that wait to be taken in.
const CALL_QUEUE: usize = 16;

/// Runs an agent until it is asked to stop.
pub async fn run_agent<P: Platform>(startup: Startup) -> Result<()> {
    let settings = &startup.settings;
    let Some(target) = settings.target.clone() else {
        return Err(Error::settings(&"target: an agent needs it"));
    };
    let now = startup.clock.now();
    let peers = Arc::new(bind(settings.datagram_address)?);
    let outbound = Arc::new(bind(target.outbound_address)?);
    let readiness = Readiness::default();
    readiness.serve::<P>(settings.readiness_address).await?;
    readiness.set(true);
    let calls = serve_target::<P>(target.status_address).await?;
    let identity = AgentIdentity {
        address: settings.datagram_address,
        service: target.service.clone(),
        failure_domain: settings.failure_domain.clone(),
        incarnation: new_incarnation(&*startup.clock),
        started_unix_ms: unix_ms(&*startup.clock),
        seed_balancers: settings.seed_balancers(),
    };
    let endpoint = Endpoint::new(endpoint_options(settings), identity, now);
    let is_registered = Arc::new(AtomicBool::new(false));
    let record = endpoint.record(now);
    let metrics = RelayMetrics::default();
    let (records, registration) =
        register::<P>(settings, &record, &is_registered, metrics.clone())?;
    let to_target = (Arc::clone(&outbound), target.backend_address);
    let caller_port = settings.datagram_address.port();
    let mut agent = Agent::<P> {
        endpoint,
        outlet: Outlet::new(
            Arc::clone(&peers),
            Arc::clone(&peers),
            Some(to_target),
            caller_port,
            now,
        )
        .with_metrics(metrics),
        clock: Arc::clone(&startup.clock),
        records,
        is_registered,
        buffer: vec![0; MAX_DATAGRAM_BYTES],
        platform: PhantomData,
    };
    agent.outlet.serve_metrics(settings.metrics_address).await;
    agent.run(startup, &peers, &outbound, calls, &target).await;
    // The registration ends with the sender of its records.
    drop(agent);
    if let Err(error) = registration.await {
        tracing::warn!(target: log::TARGET, %error, "registration task failed");
    }
    Ok(())
}

fn endpoint_options(settings: &RelaySettings) -> EndpointOptions {
    let options = EndpointOptions {
        flow_lifetime: settings.flow_lifetime_s,
        ..EndpointOptions::default()
    };
    options.with_status_timeouts(settings.address_reuse_s, settings.status_interval_ms)
}

type Records = watch::Sender<Option<AgentRecord>>;

fn register<P: Platform>(
    settings: &RelaySettings,
    record: &AgentRecord,
    is_registered: &Arc<AtomicBool>,
    metrics: RelayMetrics,
) -> Result<(Records, JoinHandle<()>)> {
    let (sender, receiver) = watch::channel(None);
    let store = ObservedStore::new(P::store(StoreOptions::new(settings.store_address)), metrics);
    let (record, ttl_min) = (record.clone(), settings.lease_min_ms);
    let is_registered = Arc::clone(is_registered);
    // The key is checked before the task begins.
    crate::registration::key_of(&record)?;
    let task = tokio::spawn(async move {
        match Registration::try_new(&store, &record, ttl_min, is_registered) {
            Ok(registration) => registration.run(receiver).await,
            Err(error) => tracing::error!(target: log::TARGET, %error, "not registered"),
        }
    });
    Ok((sender, task))
}

/// A call of the target and where its answer goes.
type PendingCall = (AgentCall, oneshot::Sender<()>);

/// Serves the calls of the target. Each is answered once the agent has taken it in.
async fn serve_target<P: Platform>(address: SocketAddrV4) -> Result<mpsc::Receiver<PendingCall>> {
    let (sender, receiver) = mpsc::channel(CALL_QUEUE);
    http_server::serve(address, move |call: Call| {
        let sender = sender.clone();
        async move {
            match P::read_call(&call.method, &call.path, &call.body) {
                Ok(call) => (pass_on(&sender, call).await, Bytes::from_static(b"{}")),
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

async fn pass_on(sender: &mpsc::Sender<PendingCall>, call: AgentCall) -> StatusCode {
    let (taken_in, answer) = oneshot::channel();
    if sender.send((call, taken_in)).await.is_ok() && answer.await.is_ok() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

struct Agent<P> {
    endpoint: Endpoint,
    outlet: Outlet,
    clock: Arc<dyn Clock>,
    records: Records,
    is_registered: Arc<AtomicBool>,
    buffer: Vec<u8>,
    platform: PhantomData<P>,
}

impl<P: Platform> Agent<P> {
    async fn run(
        &mut self,
        mut startup: Startup,
        peers: &UdpSocket,
        outbound: &UdpSocket,
        mut calls: mpsc::Receiver<PendingCall>,
        target: &TargetSettings,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                result = peers.readable() => {
                    log_unreadable(result);
                    self.read_peers(peers);
                }
                result = outbound.readable() => {
                    log_unreadable(result);
                    self.read_target(outbound, target);
                }
                Some((call, taken_in)) = calls.recv() => {
                    self.on_call(call);
                    // A target that no longer waits calls again.
                    let _ = taken_in.send(());
                }
                _ = ticks.tick() => self.on_tick(),
                signal = startup.signals.next() => match signal {
                    Signal::ReloadKeys => reload(&startup.settings_file),
                    Signal::Terminate | Signal::Interrupt => {
                        tracing::info!(target: log::TARGET, event = "StopRequested", signal = signal.name());
                        let now = self.clock.now();
                        let actions = self.endpoint.on_stop(now);
                        self.outlet.perform::<P>(actions, now);
                        return;
                    }
                },
            }
        }
    }

    fn read_peers(&mut self, socket: &UdpSocket) {
        let now = self.clock.now();
        for _ in 0..BATCH {
            let Some((datagram, balancer)) = receive(socket, &mut self.buffer) else {
                return;
            };
            match relay::decode(datagram) {
                Ok(message) => {
                    on_message::<P>(
                        &mut self.endpoint,
                        &mut self.outlet,
                        balancer,
                        &message,
                        now,
                    );
                }
                Err(error) => {
                    tracing::debug!(target: log::TARGET, %balancer, %error, "message refused");
                }
            }
        }
    }

    fn read_target(&mut self, socket: &UdpSocket, target: &TargetSettings) {
        let now = self.clock.now();
        for _ in 0..BATCH {
            let received = receive(socket, &mut self.buffer);
            let Some((len, sender)) = received.map(|(packet, sender)| (packet.len(), sender))
            else {
                return;
            };
            let packet = &mut self.buffer[..len];
            if sender.ip() != target.backend_address.ip() {
                tracing::debug!(target: log::TARGET, %sender, "packet not from the target");
                continue;
            }
            match P::read_head(packet) {
                Ok(head) => {
                    if head.flags.contains(PacketFlags::BOUNCED) {
                        P::restore_bounced(packet);
                    }
                    if let Some(status) = P::answer_status(packet) {
                        self.endpoint.on_response(status, now);
                    }
                    let actions = self.endpoint.on_target_packet(&head, packet, now);
                    self.outlet.perform::<P>(actions, now);
                }
                Err(error) => tracing::debug!(target: log::TARGET, %error, "packet refused"),
            }
        }
    }

    fn on_call(&mut self, call: AgentCall) {
        let now = self.clock.now();
        let actions = match call {
            AgentCall::Status(report) => self.endpoint.on_status_report(report, now),
            AgentCall::Leave(id) => self.endpoint.on_target_exit(&id, now),
        };
        self.outlet.perform::<P>(actions, now);
        let record = self.endpoint.record(now);
        self.records.send_if_modified(|known| {
            let is_changed = known.as_ref().is_none_or(|known| {
                known.state != record.state
                    || known.service != record.service
                    || known.slots != record.slots
            });
            if is_changed {
                *known = Some(record);
            }
            is_changed
        });
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
        let is_registered = self.is_registered.load(Ordering::Relaxed);
        self.endpoint.set_registered(is_registered);
        let actions = self.endpoint.on_tick(now);
        self.outlet.perform::<P>(actions, now);
        let flows = self.endpoint.flow_count();
        let running = self.endpoint.running_requests(now);
        self.outlet.metrics.set_agent(flows, running);
        self.outlet.summarize(now);
    }
}

fn on_message<P: Platform>(
    endpoint: &mut Endpoint,
    outlet: &mut Outlet,
    balancer: SocketAddrV4,
    message: &Message<'_>,
    now: Instant,
) {
    let packet = match message {
        Message::Open { packet, .. } | Message::Forward { packet } => packet,
        Message::Lookup { flow, ack_number } => {
            let actions = endpoint.on_lookup(balancer, *flow, *ack_number, now);
            return outlet.perform::<P>(actions, now);
        }
        Message::LookupBatch(questions) => {
            let actions = endpoint.on_lookup_batch(balancer, questions, now);
            return outlet.perform::<P>(actions, now);
        }
        Message::AgentList(agents) => {
            return outlet.perform::<P>(endpoint.on_agent_list(agents), now);
        }
        Message::BalancerQuery => {
            return outlet.perform::<P>(endpoint.on_balancer_query(balancer), now);
        }
        Message::BalancerList(balancers) => {
            let actions = endpoint.on_balancer_list(balancers, now);
            return outlet.perform::<P>(actions, now);
        }
        _ => {
            tracing::debug!(target: log::TARGET, %balancer, "message not meant for an agent");
            return;
        }
    };
    let head = match P::read_head(packet) {
        Ok(head) => head,
        Err(error) => {
            tracing::debug!(target: log::TARGET, %balancer, %error, "packet refused");
            return;
        }
    };
    let actions: Vec<Action<'_>> = match message {
        Message::Open { params, .. } => endpoint.on_open(balancer, *params, &head, packet, now),
        _ => endpoint.on_forward(balancer, &head, packet, now),
    };
    outlet.perform_for::<P>(packet, actions, now);
}

/// Returns the time of day in milliseconds of Unix time, as targets report their starts.
fn unix_ms(clock: &dyn Clock) -> u64 {
    let elapsed = clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
