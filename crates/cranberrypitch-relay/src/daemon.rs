//! Start and end of the daemons.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{Action, FlowEvent};
use cranberrypitch_net::daemon::{ExitStatus, Signals, thread_runtime};
use cranberrypitch_proto::relay;
use derive_more::Display;
use hyper::StatusCode;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::agent::run_agent;
use crate::balancer::run_balancer;
use crate::clock::BoottimeClock;
use crate::errors::{Error, Result};
use crate::http_server::{self, Call};
use crate::log::{self, EventLog};
use crate::metrics::{self, RelayMetrics};
use crate::platform::Platform;
use crate::settings::RelaySettings;
use crate::sockets::MAX_DATAGRAM_BYTES;

/// The time between two lines about left out lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// The two daemons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Role {
    /// Receives packets of callers.
    #[display("balancer")]
    Balancer,
    /// Runs beside a backend server.
    #[display("agent")]
    Agent,
}

/// What a daemon has when it begins to work.
#[derive(Debug)]
pub struct Startup {
    /// The settings.
    pub settings: RelaySettings,
    /// The file of the settings.
    pub settings_file: Box<Path>,
    /// The signals, already caught.
    pub signals: Signals,
    /// The time.
    pub clock: Arc<dyn Clock>,
}

/// Runs a daemon until a signal asks it to stop or an error ends it.
pub fn run<P: Platform>(role: Role, settings_file: &Path) -> ExitStatus {
    let _guard = log::init();
    let status = match run_role::<P>(role, settings_file) {
        Ok(()) => ExitStatus::Graceful,
        Err(error) => {
            tracing::error!(target: log::TARGET, event = "Failed", %role, %error);
            match error {
                Error::Settings { .. } | Error::SettingsFile { .. } => ExitStatus::Refused,
                _ => ExitStatus::Failed,
            }
        }
    };
    tracing::info!(target: log::TARGET, event = "Stopped", %role, %status);
    status
}

fn run_role<P: Platform>(role: Role, settings_file: &Path) -> Result<()> {
    let settings = RelaySettings::read(settings_file)?;
    let runtime = thread_runtime().map_err(|e| Error::settings(&e))?;
    runtime.block_on(async {
        let signals = Signals::listen().map_err(|e| Error::settings(&e))?;
        let vm = &settings.vm;
        tracing::info!(target: log::TARGET, event = "Started", %role, %vm, version = env!("CARGO_PKG_VERSION"));
        let startup = Startup {
            settings,
            settings_file: settings_file.into(),
            signals,
            clock: Arc::new(BoottimeClock::new()),
        };
        match role {
            Role::Balancer => run_balancer::<P>(startup).await,
            Role::Agent => run_agent::<P>(startup).await,
        }
    })
}

/// Reads the settings again, which says whether they can be used at the next start.
pub(crate) fn reload(file: &Path) {
    match RelaySettings::read(file) {
        Ok(_) => tracing::info!(target: log::TARGET, event = "Reloaded"),
        Err(error) => tracing::error!(target: log::TARGET, event = "ReloadRefused", %error),
    }
}

/// Whether the daemon is ready, as the platform asks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness(Arc<AtomicBool>);

impl Readiness {
    pub(crate) fn set(&self, is_ready: bool) {
        if self.0.swap(is_ready, Ordering::Relaxed) != is_ready {
            tracing::info!(target: log::TARGET, event = "Readiness", is_ready);
        }
    }

    /// Serves the readiness of the daemon.
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

/// Carries out actions on the sockets of a daemon.
#[derive(Debug)]
pub(crate) struct Outlet {
    /// The socket towards balancers or agents.
    pub(crate) peers: Arc<UdpSocket>,
    /// The socket towards callers.
    pub(crate) callers: Arc<UdpSocket>,
    /// The socket and address of the backend server.
    pub(crate) target: Option<(Arc<UdpSocket>, SocketAddrV4)>,
    /// The port of all callers.
    pub(crate) caller_port: u16,
    /// Asks for the changes of the list of agents.
    list_wanted: Arc<Notify>,
    pub(crate) metrics: RelayMetrics,
    buffer: Vec<u8>,
    log: EventLog,
    summarized_at: Instant,
}

impl Outlet {
    pub(crate) fn new(
        peers: Arc<UdpSocket>,
        callers: Arc<UdpSocket>,
        target: Option<(Arc<UdpSocket>, SocketAddrV4)>,
        caller_port: u16,
        now: Instant,
    ) -> Self {
        Self {
            peers,
            callers,
            target,
            caller_port,
            list_wanted: Arc::default(),
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

    pub(crate) fn with_list_wanted(mut self, list_wanted: Arc<Notify>) -> Self {
        self.list_wanted = list_wanted;
        self
    }

    /// Carries out the actions that follow from a caller's packet at an agent.
    pub(crate) fn perform_for<P: Platform>(
        &mut self,
        packet: &[u8],
        actions: Vec<Action<'_>>,
        now: Instant,
    ) {
        for action in &actions {
            if let Action::RecordEvent(event @ FlowEvent::RequestPassed { .. }) = action {
                self.log.record_request(event, P::request_id(packet), now);
            }
        }
        self.perform::<P>(actions, now);
    }

    pub(crate) fn perform<P: Platform>(&mut self, actions: Vec<Action<'_>>, now: Instant) {
        for action in actions {
            self.metrics.count(&action);
            match action {
                // Written with the id of the request.
                Action::RecordEvent(FlowEvent::RequestPassed { .. }) => {}
                Action::Send { peer, message } => {
                    relay::encode(&message, &mut self.buffer);
                    send(&self.peers, &self.buffer, peer);
                }
                Action::SendToTarget(packet) => {
                    if let Some((socket, address)) = &self.target {
                        send(socket, &packet, *address);
                    }
                }
                Action::SendToCaller { caller, packet } => {
                    let address = SocketAddrV4::new(*caller.ip(), self.caller_port);
                    send(&self.callers, &packet, address);
                }
                Action::Reset(reset) => {
                    let address = SocketAddrV4::new(*reset.flow.caller.ip(), self.caller_port);
                    send(&self.callers, &P::reset_packet(&reset), address);
                }
                Action::RefreshAgents => self.list_wanted.notify_one(),
                Action::RecordEvent(event) => self.log.record(&event, now),
            }
        }
    }

    /// Serves the metrics, if the settings name an address. Traffic goes on without them.
    pub(crate) async fn serve_metrics(&self, address: Option<SocketAddrV4>) {
        let Some(address) = address else { return };
        if let Err(error) = metrics::serve(address, self.metrics.clone()).await {
            tracing::error!(target: log::TARGET, event = "MetricsNotServed", %error);
        }
    }

    /// Writes what was left out of the log, from time to time.
    pub(crate) fn summarize(&mut self, now: Instant) {
        if now.saturating_duration_since(self.summarized_at) >= SUMMARY_INTERVAL {
            self.summarized_at = now;
            self.metrics.left_out(self.log.summarize());
        }
    }
}

fn send(socket: &UdpSocket, datagram: &[u8], address: SocketAddrV4) {
    // Senders of lost packets send them again, so a full socket drops the datagram.
    if let Err(error) = socket.try_send_to(datagram, SocketAddr::V4(address)) {
        tracing::debug!(target: log::TARGET, %address, %error, "datagram not sent");
    }
}
