//! Metrics of the daemons, served in the `OpenMetrics` text format.

mod evacuation;
mod lookups;
mod openings;
mod register;
mod schedule;
mod store;
mod targets;

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::Revision;
use cranberrypitch_core::flow::{Action, FlowEvent, Message, RefusalCause};
use cranberrypitch_net::store::{Epoch, Error as StoreError, Operation, StoreObserver};
use hyper::StatusCode;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use self::evacuation::EvacuationMetrics;
use self::lookups::LookupMetrics;
use self::openings::OpeningMetrics;
use self::register::{register, register_histogram};
use self::schedule::ScheduleMetrics;
use self::store::StoreMetrics;
use self::targets::TargetMetrics;
use crate::io::http_server::{self, Call};

/// The HTTP path of the metrics.
pub(crate) const PATH: &str = "/metrics";

/// The prefix of all metric names.
pub(crate) const PREFIX: &str = "cranberrypitch";

/// The metrics of a daemon. Clones share the values.
#[derive(Clone, Debug)]
pub(crate) struct RelayMetrics {
    registry: Arc<Registry>,
    store: StoreMetrics,
    openings: OpeningMetrics,
    schedule: ScheduleMetrics,
    lookups: LookupMetrics,
    targets: TargetMetrics,
    evacuations: EvacuationMetrics,
    flows_reset: Counter,
    packets_dropped: Counter,
    packets_forwarded: Counter,
    lookup_messages: Counter,
    packets_to_target: Counter,
    packets_to_caller: Counter,
    requests_passed: Counter,
    status_reports_ignored: Counter,
    registrations_refused: Counter,
    lines_suppressed: Counter,
    config_checks_sent: Counter,
    config_checks_received: Counter,
    config_check_age_ms: Gauge,
    config_watching: Gauge,
    agent_list_age_ms: Gauge,
    flows: Gauge,
    config_version: Gauge,
    answer_time: Histogram,
    load_age: Histogram,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let openings = OpeningMetrics::register(&mut registry);
        let mut counter = |name, help| register::<Counter>(&mut registry, name, help);
        let flows_reset = counter("flows_reset", "Flows reset by the daemon");
        let packets_dropped = counter("packets_dropped", "Packets dropped");
        let packets_forwarded = counter("packets_forwarded", "Packets of callers sent to an agent");
        let lookup_messages = counter(
            "questions",
            "Messages that ask an agent whether it holds a flow",
        );
        let packets_to_target = counter("packets_to_target", "Packets forwarded to the target");
        let packets_to_caller = counter("packets_to_caller", "Packets forwarded to callers");
        let requests_passed = counter("requests_passed", "Requests forwarded to the target");
        let status_reports_ignored = counter(
            "status_reports_ignored",
            "Status reports without effect, which were late or of another writer",
        );
        let registrations_refused = counter(
            "registrations_refused",
            "Entries among the registrations of agents that are malformed or name another agent",
        );
        let lines_suppressed = counter(
            "log_lines_left_out",
            "Log lines suppressed by the rate limit",
        );
        let config_checks_sent = counter(
            "configuration_checks_sent",
            "Checks of the configuration sent to agents, or relayed by an agent",
        );
        let config_checks_received = counter(
            "configuration_checks_received",
            "Checks of the configuration received from other balancers",
        );
        let mut gauge = |name, help| register::<Gauge>(&mut registry, name, help);
        let config_check_age_ms = gauge(
            "configuration_check_age_ms",
            "Time since the store is known to have had no newer configuration, or -1",
        );
        let config_watching = gauge(
            "configuration_watching",
            "Whether the balancer watches the configuration in the store",
        );
        let agent_list_age_ms = gauge(
            "agent_list_age_ms",
            "Time since the list of agents was read from the store, or -1",
        );
        let flows = gauge("flows", "Flows in the flow table");
        let config_version = gauge(
            "configuration_version",
            "Version of the configuration in force",
        );
        let mut histogram = |name, help| register_histogram(&mut registry, name, help);
        let answer_time = histogram(
            "answer_time",
            "Time from a request to the first packet of its answer",
        );
        let load_age = histogram("load_age", "Age of the load report that placed a flow");
        let lookups = LookupMetrics::register(&mut registry);
        let targets = TargetMetrics::register(&mut registry);
        let schedule = ScheduleMetrics::register(&mut registry);
        Self {
            evacuations: EvacuationMetrics::register(&mut registry),
            store: StoreMetrics::register(&mut registry),
            registry: Arc::new(registry),
            openings,
            schedule,
            lookups,
            targets,
            flows_reset,
            packets_dropped,
            packets_forwarded,
            lookup_messages,
            packets_to_target,
            packets_to_caller,
            requests_passed,
            status_reports_ignored,
            registrations_refused,
            lines_suppressed,
            config_checks_sent,
            config_checks_received,
            config_check_age_ms,
            config_watching,
            agent_list_age_ms,
            flows,
            config_version,
            answer_time,
            load_age,
        }
    }
}

/// Returns an age in milliseconds, or -1 if there is none.
fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

impl RelayMetrics {
    /// Updates the metrics for an action.
    pub(crate) fn count(&self, action: &Action<'_>) {
        match action {
            Action::Send { message, .. } => self.count_message(message),
            Action::SendToTarget(_) => {
                self.packets_to_target.inc();
            }
            Action::SendToCaller { .. } => {
                self.packets_to_caller.inc();
            }
            Action::Reset(_) => {
                self.flows_reset.inc();
            }
            Action::RefreshAgents | Action::CheckConfig => {}
            Action::RecordEvent(event) => self.count_event(event),
        }
    }

    fn count_message(&self, message: &Message<'_>) {
        match message {
            Message::Forward { .. } => {
                self.packets_forwarded.inc();
            }
            Message::Lookup { .. } | Message::LookupBatch(_) => {
                self.lookup_messages.inc();
            }
            Message::ConfigCheck { .. } => {
                self.config_checks_sent.inc();
            }
            _ => {}
        }
    }

    fn count_event(&self, event: &FlowEvent) {
        match event {
            FlowEvent::Placed { load_age, .. } => {
                self.openings.placed.inc();
                if let Some(age) = load_age {
                    self.load_age.observe(age.as_secs_f64());
                }
            }
            FlowEvent::Located { elapsed, .. } => {
                self.lookups.on_located(*elapsed);
            }
            FlowEvent::NotLocated {
                excluding_agents, ..
            } => {
                self.lookups.on_not_located(*excluding_agents);
            }
            FlowEvent::Refused { cause, .. } => {
                self.openings.refused.inc();
                self.evacuations.on_refusal(*cause);
                if *cause == RefusalCause::Overloaded {
                    self.schedule.flows_refused_overloaded.inc();
                }
            }
            FlowEvent::WarmupLimited { .. } => {
                self.openings.warmup_limited.inc();
            }
            FlowEvent::Unanswered { .. } => {
                self.openings.unanswered.inc();
            }
            FlowEvent::Dropped { .. } => {
                self.packets_dropped.inc();
            }
            FlowEvent::RequestPassed { .. } => {
                self.requests_passed.inc();
            }
            FlowEvent::RequestTimedOut { .. } => {
                self.schedule.requests_timed_out.inc();
            }
            FlowEvent::StatusReportIgnored { .. } => {
                self.status_reports_ignored.inc();
            }
            FlowEvent::RequestAnswered { elapsed, .. } => {
                self.answer_time.observe(elapsed.as_secs_f64());
            }
            _ => {}
        }
    }

    pub(crate) fn add_suppressed_lines(&self, lines: u64) {
        self.lines_suppressed.inc_by(lines);
    }

    pub(crate) fn add_refused_registrations(&self, count: usize) {
        self.registrations_refused
            .inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    pub(crate) fn add_config_check(&self) {
        self.config_checks_received.inc();
    }

    pub(crate) fn set_config_watch(&self, is_watching: bool, check_age: Option<Duration>) {
        self.config_watching.set(i64::from(is_watching));
        self.config_check_age_ms.set(age_ms(check_age));
    }

    pub(crate) fn set_agent_list_age(&self, age: Option<Duration>) {
        self.agent_list_age_ms.set(age_ms(age));
    }

    pub(crate) fn set_agent(&self, flows: usize, running: u16, waiting: usize) {
        self.flows.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.schedule.set_requests(running, waiting);
    }

    pub(crate) fn set_evacuations(&self, failure_domains: usize) {
        self.evacuations.set_domains(failure_domains);
    }

    pub(crate) fn set_balancer(&self, flows: usize, agents: usize, version: Option<Revision>) {
        self.flows.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.targets.set_agents(agents);
        let version = version.map_or(0, Revision::get);
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_ejected_targets(&self, count: usize) {
        self.targets.set_ejected(count);
    }

    fn encode_text(&self) -> Option<String> {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => Some(text),
            Err(error) => {
                tracing::error!(target: crate::log::TARGET, %error, "metrics not encoded");
                None
            }
        }
    }
}

impl StoreObserver for RelayMetrics {
    fn on_call(&self, operation: Operation, outcome: Result<(), &StoreError>, elapsed: Duration) {
        self.store.on_call(operation, outcome, elapsed);
    }

    fn on_epoch(&self, epoch: Epoch) {
        self.store.on_epoch(epoch);
    }

    fn on_malformed_items(&self, total: u64) {
        self.store.on_malformed_items(total);
    }
}

/// Returns the page `docs/relay-metrics.md`: a table of all metrics with type and help text.
pub fn metrics_page() -> String {
    let mut page = String::from(PAGE_HEAD);
    let metrics = RelayMetrics::default();
    // A metric with labels is encoded only after its first sample.
    metrics.on_call(Operation::List, Ok(()), Duration::ZERO);
    let text = metrics.encode_text().unwrap_or_default();
    for line in text.lines() {
        if let Some((name, help)) = line.strip_prefix("# HELP ").and_then(|l| l.split_once(' ')) {
            let kind = text
                .lines()
                .find_map(|line| line.strip_prefix(&format!("# TYPE {name} ")));
            let kind = kind.unwrap_or("unknown");
            let row = format!("| `{name}` | {kind} | {help} |\n");
            page.push_str(&row);
        }
    }
    page
}

const PAGE_HEAD: &str = "\
# Metrics of the relayed path

Balancers and agents of `cranberrypitch-relay` serve these at `metrics_address`, path `/metrics`, in the OpenMetrics
text format. Counters have the suffix `_total` there, histograms `_bucket`, `_sum` and `_count`. A daemon leaves the
metrics of the other role at zero. The page is written by the test `metrics_page_is_complete`
(`UPDATE_EXPECT=1 cargo test -p cranberrypitch-relay`).

| name | kind | meaning |
|---|---|---|
";

/// Serves the metrics over HTTP.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) async fn serve(address: SocketAddrV4, metrics: RelayMetrics) -> crate::Result<()> {
    http_server::serve(address, move |call: Call| {
        let text = (&*call.path == PATH)
            .then(|| metrics.encode_text())
            .flatten();
        async move {
            match text {
                Some(text) => (StatusCode::OK, Bytes::from(text)),
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            }
        }
    })
    .await
}
