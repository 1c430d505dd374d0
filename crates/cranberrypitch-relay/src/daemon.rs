//! The settings and the readiness of the daemons, and the execution of their actions.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{Action, FlowEvent};
use cranberrypitch_net::daemon::Signals;
use cranberrypitch_proto::relay;
use hyper::StatusCode;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::errors::Result;
use crate::io::http_server::{self, Call};
use crate::io::sockets::MAX_DATAGRAM_BYTES;
use crate::log::{self, EventLog};
use crate::metrics::{self, RelayMetrics};
use crate::platform::Platform;
use crate::settings::RelaySettings;

/// The time between two log lines about suppressed lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// The settings and resources that a daemon gets at its start.
#[derive(Debug)]
pub struct DaemonContext {
    /// The settings, read from `settings_file`.
    pub settings: RelaySettings,
    /// The path of the settings file.
    pub settings_file: Box<Path>,
    /// The signals of the process, whose handlers are installed.
    pub signals: Signals,
    /// The clock of the daemon.
    pub clock: Arc<dyn Clock>,
}

/// Reads the settings file again and logs whether the next start can use it. The settings in force
/// stay.
pub(crate) fn check_settings_file(file: &Path) {
    match RelaySettings::from_file(file) {
        Ok(_) => tracing::info!(target: log::TARGET, event = "Reloaded"),
        Err(error) => tracing::error!(target: log::TARGET, event = "ReloadRefused", %error),
    }
}

/// The readiness of the daemon. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness(Arc<AtomicBool>);

impl Readiness {
    pub(crate) fn set(&self, is_ready: bool) {
        if self.0.swap(is_ready, Ordering::Relaxed) != is_ready {
            tracing::info!(target: log::TARGET, event = "Readiness", is_ready);
        }
    }

    /// Serves readiness probes: status 200 if the daemon is ready, otherwise 503.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub(crate) async fn serve<P: Platform>(&self, address: SocketAddrV4) -> Result<()> {
        let is_ready = Arc::clone(&self.0);
        http_server::serve(address, move |call: Call| {
            let status = if !P::is_readiness_path(&call.path) {
                StatusCode::NOT_FOUND
            } else if is_ready.load(Ordering::Relaxed) {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            async move { (status, Bytes::new()) }
        })
        .await
    }
}

/// Executes the actions of a dispatcher or flow agent: sends datagrams, counts metrics and writes the
/// log.
#[derive(Debug)]
pub(crate) struct ActionExecutor {
    /// The socket for messages to agents (at a balancer) or to balancers (at an agent).
    pub(crate) peer_socket: Arc<UdpSocket>,
    /// The socket for packets to callers.
    pub(crate) caller_socket: Arc<UdpSocket>,
    /// The socket for packets to the backend server, and its address; none at a balancer.
    pub(crate) target_socket: Option<(Arc<UdpSocket>, SocketAddrV4)>,
    /// The port at which all callers receive packets.
    pub(crate) caller_port: u16,
    /// Triggers a read of the changes of the list of agents.
    agents_refresh: Arc<Notify>,
    /// Requests a read of the configuration.
    config_read_request: Arc<Notify>,
    pub(crate) metrics: RelayMetrics,
    buffer: Vec<u8>,
    log: EventLog,
    summarized_at: Instant,
}

impl ActionExecutor {
    pub(crate) fn new(
        peer_socket: Arc<UdpSocket>,
        caller_socket: Arc<UdpSocket>,
        target_socket: Option<(Arc<UdpSocket>, SocketAddrV4)>,
        caller_port: u16,
        now: Instant,
    ) -> Self {
        Self {
            peer_socket,
            caller_socket,
            target_socket,
            caller_port,
            agents_refresh: Arc::default(),
            config_read_request: Arc::default(),
            metrics: RelayMetrics::default(),
            buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
            log: EventLog::new(),
            summarized_at: now,
        }
    }

    pub(crate) fn with_metrics(mut self, metrics: RelayMetrics) -> Self {
        self.metrics = metrics;
        self
    }

    pub(crate) fn with_agents_refresh(mut self, agents_refresh: Arc<Notify>) -> Self {
        self.agents_refresh = agents_refresh;
        self
    }

    pub(crate) fn with_config_read_request(mut self, config_read_request: Arc<Notify>) -> Self {
        self.config_read_request = config_read_request;
        self
    }

    /// Executes actions and logs their events. The packet that begins a request precedes its event.
    pub(crate) fn execute<P: Platform>(&mut self, actions: Vec<Action<'_>>, now: Instant) {
        self.log_requests::<P>(&actions, now);
        for action in actions {
            self.metrics.count(&action);
            match action {
                // Logged by `log_requests`, with the request id.
                Action::RecordEvent(FlowEvent::RequestPassed { .. }) => {}
                Action::Send { peer, message } => {
                    relay::encode(&message, &mut self.buffer);
                    send(&self.peer_socket, &self.buffer, peer);
                }
                Action::SendToTarget(packet) => {
                    if let Some((socket, address)) = &self.target_socket {
                        send(socket, &packet, *address);
                    }
                }
                Action::SendToCaller { caller, packet } => {
                    let address = SocketAddrV4::new(*caller.ip(), self.caller_port);
                    send(&self.caller_socket, &packet, address);
                }
                Action::Reset(reset) => {
                    let address = SocketAddrV4::new(*reset.flow.caller.ip(), self.caller_port);
                    send(&self.caller_socket, &P::reset_packet(&reset), address);
                }
                Action::RefreshAgents => self.agents_refresh.notify_one(),
                Action::CheckConfig => self.config_read_request.notify_one(),
                Action::RecordEvent(event) => self.log.record(&event, now),
            }
        }
    }

    /// Logs the requests that are passed to the target, with the request id of the packet before the event.
    fn log_requests<P: Platform>(&mut self, actions: &[Action<'_>], now: Instant) {
        let mut packet = None;
        for action in actions {
            match action {
                Action::SendToTarget(sent) => packet = Some(sent),
                Action::RecordEvent(event @ FlowEvent::RequestPassed { .. }) => {
                    let request_id = packet.and_then(|packet| P::request_id(packet));
                    self.log.record_request(event, request_id, now);
                }
                _ => {}
            }
        }
    }

    /// Serves the metrics if an address is given. A failure is logged and does not stop the daemon.
    pub(crate) async fn serve_metrics(&self, address: Option<SocketAddrV4>) {
        let Some(address) = address else { return };
        if let Err(error) = metrics::serve(address, self.metrics.clone()).await {
            tracing::error!(target: log::TARGET, event = "MetricsNotServed", %error);
        }
    }

    /// Logs the number of suppressed lines, at most once per [`SUMMARY_INTERVAL`].
    pub(crate) fn summarize(&mut self, now: Instant) {
        if now.saturating_duration_since(self.summarized_at) >= SUMMARY_INTERVAL {
            self.summarized_at = now;
            self.metrics.add_suppressed_lines(self.log.summarize());
        }
    }
}

fn send(socket: &UdpSocket, datagram: &[u8], address: SocketAddrV4) {
    // A datagram that does not fit into the send buffer is dropped; its sender retransmits it.
    if let Err(error) = socket.try_send_to(datagram, SocketAddr::V4(address)) {
        tracing::debug!(target: log::TARGET, %address, %error, "datagram dropped: send failed");
    }
}
