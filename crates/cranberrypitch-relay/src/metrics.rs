//! Metrics of the daemons, served as text that common collectors read.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::Revision;
use cranberrypitch_core::flow::{Action, FlowEvent, Message};
use cranberrypitch_net::store::{Error as StoreError, Operation, StoreObserver};
use hyper::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry, Unit};

use crate::http_server::{self, Call};

/// The path of the metrics.
pub(crate) const PATH: &str = "/metrics";

/// The prefix of all names.
pub(crate) const PREFIX: &str = "cranberrypitch";

/// Upper bounds of the buckets of times, in seconds; latency objectives lie between 0.1 and 1 s.
const TIME_BUCKETS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// What tells the counts of calls to the store apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCall {
    operation: String,
    outcome: &'static str,
}

impl StoreCall {
    fn new(operation: Operation, outcome: Result<(), &StoreError>) -> Self {
        let outcome = match outcome {
            Ok(()) => "ok",
            Err(StoreError::Unavailable { .. }) => "unavailable",
            Err(StoreError::OutcomeUnknown { .. }) => "unknown",
            Err(StoreError::Conflict { .. }) => "conflict",
            Err(StoreError::LeaseLapsed { .. }) => "lapsed",
            Err(_) => "refused",
        };
        Self {
            operation: operation.to_string().to_lowercase(),
            outcome,
        }
    }
}

/// The metrics of a daemon. Clones share the values.
#[derive(Clone, Debug)]
pub(crate) struct RelayMetrics {
    registry: Arc<Registry>,
    store_calls: Family<StoreCall, Counter>,
    placed: Counter,
    refused: Counter,
    unanswered: Counter,
    located: Counter,
    not_located: Counter,
    resets: Counter,
    dropped: Counter,
    forwarded: Counter,
    questions: Counter,
    to_target: Counter,
    to_caller: Counter,
    requests: Counter,
    lines_left_out: Counter,
    flows: Gauge,
    agents: Gauge,
    running: Gauge,
    version: Gauge,
    locate_time: Histogram,
    answer_time: Histogram,
    load_age: Histogram,
    store_time: Histogram,
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let mut counter = |name, help| register::<Counter>(&mut registry, name, help);
        let placed = counter("flows_placed", "Opening packets sent to an agent");
        let refused = counter("flows_refused", "Openings that an agent refused");
        let unanswered = counter("openings_unanswered", "Openings without an answer in time");
        let located = counter("flows_located", "Flows whose agent was found");
        let not_located = counter("flows_not_located", "Flows that no agent holds");
        let resets = counter("flows_reset", "Flows that the daemon reset");
        let dropped = counter("packets_dropped", "Packets that were dropped");
        let forwarded = counter("packets_forwarded", "Packets of callers sent to an agent");
        let questions = counter("questions", "Questions to agents for a flow");
        let to_target = counter("packets_to_target", "Packets passed to the target");
        let to_caller = counter("packets_to_caller", "Packets passed to callers");
        let requests = counter("requests_passed", "Requests that were passed to the target");
        let lines_left_out = counter("log_lines_left_out", "Log lines over their budget");
        let mut gauge = |name, help| register::<Gauge>(&mut registry, name, help);
        let flows = gauge("flows", "Flows in the table");
        let agents = gauge("agents", "Agents that the balancer knows");
        let running = gauge("requests_running", "Requests that the target has");
        let version = gauge(
            "configuration_version",
            "Version of the configuration in force",
        );
        let mut histogram = |name: &str, help: &str| {
            let histogram = Histogram::new(TIME_BUCKETS_S);
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
            histogram
        };
        let locate_time = histogram("locate_time", "Time until the agent of a flow was found");
        let answer_time = histogram(
            "answer_time",
            "Time from a request to the first packet back",
        );
        let load_age = histogram("load_age", "Age of the load report that placed a flow");
        let store_time = histogram("store_call_time", "Time of a call to the store but a watch");
        let help = "Calls to the store by operation and outcome";
        let store_calls = register(&mut registry, "store_calls", help);
        Self {
            registry: Arc::new(registry),
            store_calls,
            placed,
            refused,
            unanswered,
            located,
            not_located,
            resets,
            dropped,
            forwarded,
            questions,
            to_target,
            to_caller,
            requests,
            lines_left_out,
            flows,
            agents,
            running,
            version,
            locate_time,
            answer_time,
            load_age,
            store_time,
        }
    }
}

/// Registers a metric that begins at zero.
fn register<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

impl RelayMetrics {
    /// Counts an action.
    pub(crate) fn count(&self, action: &Action<'_>) {
        match action {
            Action::Send { message, .. } => self.count_message(message),
            Action::SendToTarget(_) => {
                self.to_target.inc();
            }
            Action::SendToCaller { .. } => {
                self.to_caller.inc();
            }
            Action::Reset(_) => {
                self.resets.inc();
            }
            Action::RefreshAgents => {}
            Action::RecordEvent(event) => self.count_event(event),
        }
    }

    fn count_message(&self, message: &Message<'_>) {
        match message {
            Message::Forward { .. } => {
                self.forwarded.inc();
            }
            Message::Lookup { .. } => {
                self.questions.inc();
            }
            _ => {}
        }
    }

    fn count_event(&self, event: &FlowEvent) {
        match event {
            FlowEvent::Placed { load_age, .. } => {
                self.placed.inc();
                if let Some(age) = load_age {
                    self.load_age.observe(age.as_secs_f64());
                }
            }
            FlowEvent::Located { elapsed, .. } => {
                self.located.inc();
                self.locate_time.observe(elapsed.as_secs_f64());
            }
            FlowEvent::NotLocated { .. } => {
                self.not_located.inc();
            }
            FlowEvent::Refused { .. } => {
                self.refused.inc();
            }
            FlowEvent::Unanswered { .. } => {
                self.unanswered.inc();
            }
            FlowEvent::Dropped { .. } => {
                self.dropped.inc();
            }
            FlowEvent::RequestPassed { .. } => {
                self.requests.inc();
            }
            FlowEvent::RequestAnswered { elapsed, .. } => {
                self.answer_time.observe(elapsed.as_secs_f64());
            }
            _ => {}
        }
    }

    pub(crate) fn left_out(&self, lines: u64) {
        self.lines_left_out.inc_by(lines);
    }

    pub(crate) fn set_agent(&self, flows: usize, running: u16) {
        self.flows.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.running.set(i64::from(running));
    }

    pub(crate) fn set_balancer(&self, flows: usize, agents: usize, version: Option<Revision>) {
        self.flows.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.agents.set(i64::try_from(agents).unwrap_or(i64::MAX));
        let version = version.map_or(0, Revision::get);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    fn text(&self) -> Option<String> {
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
        // A watch takes as long as nothing changes.
        if operation != Operation::Watch {
            self.store_time.observe(elapsed.as_secs_f64());
        }
        let call = StoreCall::new(operation, outcome);
        self.store_calls.get_or_create(&call).inc();
    }
}

/// Returns the names of all metrics with their help, as the page `docs/relay-metrics.md` lists them.
pub fn metrics_page() -> String {
    let mut page = String::from(PAGE_HEAD);
    let metrics = RelayMetrics::default();
    // Counts by label are written once there is one.
    metrics.on_call(Operation::List, Ok(()), Duration::ZERO);
    let text = metrics.text().unwrap_or_default();
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

/// Serves the metrics.
pub(crate) async fn serve(address: SocketAddrV4, metrics: RelayMetrics) -> crate::Result<()> {
    http_server::serve(address, move |call: Call| {
        let text = (&*call.path == PATH).then(|| metrics.text()).flatten();
        async move {
            match text {
                Some(text) => (StatusCode::OK, Bytes::from(text)),
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            }
        }
    })
    .await
}
