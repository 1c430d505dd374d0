//! The actor that sends the target's load reports to balancers and tracks which of them are alive.

use std::net::SocketAddrV4;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::{Announcement, Clock, ConnectionLimit, Revision, TargetState};
use cranberrypitch_net::Event;
use cranberrypitch_net::daemon::RestartLog;
use cranberrypitch_net::metrics::{Counter, Gauge, Metrics};
use cranberrypitch_proto::report::{Report, ReportAck};
use cranberrypitch_proto::tunnel::DatagramKind;
use kameo::actor::{Actor, ActorRef, WeakActorRef};
use kameo::error::{ActorStopReason, Infallible, PanicError};
use kameo::message::{Context, Message};
use tokio::sync::watch;

use crate::balancers::BalancerTable;
use crate::options::AgentIdentity;
use crate::return_path::{BalancerEndpoint, ReturnPath};
use crate::socket::{ControlDatagram, TunnelSocket};
use crate::target::{GetStatus, SampleMetrics, SetPeers, TargetActor, TargetStatus};

/// The interval of reports while the target has connections. Missing acknowledgements then reveal a
/// failed balancer within a second.
pub(crate) const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of balancers in one log line.
const MAX_LOGGED_BALANCERS: usize = 8;

/// The arguments of the actor.
#[derive(Clone, Debug)]
pub(crate) struct AnnounceArgs {
    pub(crate) identity: AgentIdentity,
    pub(crate) connections_max: ConnectionLimit,
    pub(crate) balancers: Vec<BalancerEndpoint>,
    pub(crate) idle_report_interval: Duration,
    pub(crate) revision: watch::Receiver<Revision>,
    pub(crate) newest_revision: watch::Sender<Revision>,
    pub(crate) return_path: Arc<ReturnPath>,
    pub(crate) socket: Arc<TunnelSocket>,
    pub(crate) target: ActorRef<TargetActor>,
    pub(crate) next_sequence: Arc<std::sync::atomic::AtomicU64>,
    pub(crate) metrics: Metrics,
    pub(crate) restarts: RestartLog,
    pub(crate) clock: Arc<dyn Clock>,
}

/// The actor that sends load reports.
#[derive(Debug)]
pub(crate) struct AnnounceActor {
    args: AnnounceArgs,
    balancers: BalancerTable,
    last_status: Option<TargetStatus>,
    last_report_at: Option<Instant>,
    reports_sent: u64,
    unlogged_path_change: Option<Arc<Vec<SocketAddrV4>>>,
}

/// Sends a report if one is due.
#[derive(Debug)]
pub(crate) struct ReportTick;

/// Sends a report immediately.
#[derive(Debug)]
pub(crate) struct ReportNow;

/// Sends a final report that the agent has stopped.
#[derive(Debug)]
pub(crate) struct ReportGone;

/// Adds the balancers that are listed as live.
#[derive(Debug)]
pub(crate) struct SetBalancers(pub(crate) Vec<BalancerEndpoint>);

impl Actor for AnnounceActor {
    type Args = AnnounceArgs;
    type Error = Infallible;

    async fn on_start(args: AnnounceArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
        args.restarts.record_start();
        let now = args.clock.now();
        let mut balancers = BalancerTable::default();
        for balancer in &args.balancers {
            balancers.add(balancer.clone(), now);
        }
        let mut actor = Self {
            args,
            balancers,
            last_status: None,
            last_report_at: None,
            reports_sent: 0,
            unlogged_path_change: None,
        };
        actor.update_return_path();
        Ok(actor)
    }

    async fn on_panic(
        &mut self,
        _: WeakActorRef<Self>,
        err: PanicError,
    ) -> Result<ControlFlow<ActorStopReason>, Infallible> {
        self.args.restarts.record_failure(&err);
        Ok(ControlFlow::Break(ActorStopReason::Panicked(err)))
    }
}

impl AnnounceActor {
    fn update_return_path(&mut self) {
        let changed = self
            .args
            .return_path
            .set_live_balancers(&self.balancers.live_balancers());
        self.unlogged_path_change = changed.or(self.unlogged_path_change.take());
    }

    async fn report(&mut self, is_forced: bool) {
        let Ok(Some(status)) = self.args.target.ask(GetStatus).await else {
            return;
        };
        let now = self.args.clock.now();
        if !is_forced && !self.is_due(&status, now) {
            return;
        }
        self.send_reports(status, now);
    }

    fn send_reports(&mut self, status: TargetStatus, now: Instant) {
        self.last_status = Some(status);
        self.last_report_at = Some(now);
        for due in self.balancers.take_due_reports(now) {
            let report = self.build_report(&status, due.needs_announcement);
            if let Ok(bytes) = report.encode() {
                // The next report makes up for a lost one.
                let _sent =
                    self.args
                        .socket
                        .send_control(due.balancer, DatagramKind::Report, &bytes);
                self.reports_sent += 1;
            }
        }
        for (tunnel, silent_ms) in self.balancers.newly_silent(now) {
            Event::BalancerSilent { tunnel, silent_ms }.log();
        }
        self.update_return_path();
    }

    fn is_due(&self, status: &TargetStatus, now: Instant) -> bool {
        let has_changed = self
            .last_status
            .is_none_or(|r| (r.state, r.load) != (status.state, status.load));
        let is_busy = status.load.connections > 0 || has_changed;
        let interval = if is_busy {
            BUSY_REPORT_INTERVAL
        } else {
            self.args.idle_report_interval
        };
        let elapsed = self
            .last_report_at
            .map(|at| now.saturating_duration_since(at));
        // Ticks fire slightly early or late, so half an interval is allowed as a margin.
        elapsed.is_none_or(|elapsed| elapsed + BUSY_REPORT_INTERVAL / 2 >= interval)
    }

    fn build_report(&self, status: &TargetStatus, with_announcement: bool) -> Report {
        let identity = &self.args.identity;
        let announcement = with_announcement.then(|| Announcement {
            vm: identity.vm.clone(),
            failure_domain: identity.failure_domain.clone(),
            service: identity.service.clone(),
            connection_limit: self.args.connections_max,
        });
        Report {
            incarnation: identity.incarnation,
            sequence: self
                .args
                .next_sequence
                .fetch_add(1, std::sync::atomic::Ordering::Relaxed),
            state: status.state,
            revision: *self.args.revision.borrow(),
            load: status.load,
            announcement,
        }
    }

    fn handle_goodbye(&mut self, tunnel: SocketAddrV4) {
        if self.balancers.record_goodbye(tunnel, self.args.clock.now()) {
            Event::BalancerGoodbye { tunnel }.log();
        }
    }

    async fn handle_ack(&mut self, datagram: &ControlDatagram) {
        let Ok(ack) = ReportAck::decode(&datagram.payload) else {
            return;
        };
        if ack.incarnation != self.args.identity.incarnation {
            return;
        }
        let now = self.args.clock.now();
        self.balancers
            .record_ack(datagram.from, ack.has_announcement, now);
        self.args.newest_revision.send_if_modified(|newest| {
            let is_newer = *newest < ack.revision;
            *newest = (*newest).max(ack.revision);
            is_newer
        });
        let Some(hints) = ack.hints else { return };
        for hint in hints.balancers {
            self.balancers.add(hint.into(), now);
        }
        let _sent = self.args.target.tell(SetPeers(hints.peers)).await;
    }
}

/// Formats the first [`MAX_LOGGED_BALANCERS`] addresses and the number of the others.
fn format_addresses(balancers: &[SocketAddrV4]) -> Box<str> {
    let shown = balancers
        .iter()
        .take(MAX_LOGGED_BALANCERS)
        .map(ToString::to_string);
    let text = shown.collect::<Vec<_>>().join(", ");
    match balancers.len() {
        0 => "none".into(),
        len if len > MAX_LOGGED_BALANCERS => {
            format!("{text} and {} others", len - MAX_LOGGED_BALANCERS).into()
        }
        _ => text.into(),
    }
}

impl Message<SampleMetrics> for AnnounceActor {
    type Reply = ();

    async fn handle(&mut self, _: SampleMetrics, _: &mut Context<Self, ()>) {
        if let Some(balancers) = self.unlogged_path_change.take() {
            let balancers = format_addresses(&balancers);
            Event::ReturnPathChanged { balancers }.log();
        }
        let metrics = &self.args.metrics;
        let sent = std::mem::take(&mut self.reports_sent);
        if sent > 0 {
            metrics.count(Counter::Reports, sent);
        }
        let live = self.balancers.live_balancers().len() as u64;
        metrics.gauge(Gauge::BalancersLive, live);
        let revision = self.args.revision.borrow().get();
        metrics.gauge(Gauge::ConfigurationRevision, revision);
    }
}

impl Message<ReportTick> for AnnounceActor {
    type Reply = ();

    async fn handle(&mut self, _: ReportTick, _: &mut Context<Self, ()>) {
        self.report(false).await;
    }
}

impl Message<ReportNow> for AnnounceActor {
    type Reply = ();

    async fn handle(&mut self, _: ReportNow, _: &mut Context<Self, ()>) {
        self.report(true).await;
    }
}

impl Message<ReportGone> for AnnounceActor {
    type Reply = ();

    async fn handle(&mut self, _: ReportGone, _: &mut Context<Self, ()>) {
        let Some(mut status) = self.last_status else {
            return;
        };
        status.state = TargetState::Gone;
        self.send_reports(status, self.args.clock.now());
    }
}

impl Message<ControlDatagram> for AnnounceActor {
    type Reply = ();

    async fn handle(&mut self, msg: ControlDatagram, _: &mut Context<Self, ()>) {
        match msg.header.kind {
            DatagramKind::ReportAck => self.handle_ack(&msg).await,
            DatagramKind::Goodbye => self.handle_goodbye(msg.from),
            _ => return,
        }
        self.update_return_path();
    }
}

impl Message<SetBalancers> for AnnounceActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetBalancers, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        for balancer in msg.0 {
            self.balancers.add(balancer, now);
        }
        self.update_return_path();
    }
}
