//! The catalogue of metrics.

use derive_more::Display;

/// The description of a metric in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricEntry {
    /// The name, without the prefix and the program.
    pub name: &'static str,
    /// The `StatsD` type: counter, gauge or timer.
    pub kind: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The programs that send the metric.
    pub source: &'static str,
    /// The meaning of the values.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($(
        #[doc = $about:literal]
        $group:ident $kind:literal {$(
            #[doc = $meaning:literal]
            $variant:ident = $name:literal, $unit:literal, $source:literal;
        )+}
    )+) => {
        $(
            #[doc = $about]
            #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
            #[non_exhaustive]
            pub enum $group {
                $(
                    #[doc = $meaning]
                    #[display($name)]
                    $variant,
                )+
            }
        )+

        /// All metrics.
        pub const CATALOGUE: &[MetricEntry] = &[$($(
            MetricEntry {
                name: $name,
                kind: $kind,
                unit: $unit,
                source: $source,
                meaning: $meaning.trim_ascii(),
            },
        )+)+];
    };
}

metrics! {
    /// A counter.
    Counter "counter" {
        /// Datagrams of established flows passed to agents.
        DatagramsForwarded = "datagrams.forwarded", "datagrams", "balancer";
        /// Datagrams of agents passed to callers.
        DatagramsReturned = "datagrams.returned", "datagrams", "balancer";
        /// Dropped datagrams, with the tag `reason`.
        DatagramsDropped = "datagrams.dropped", "datagrams", "balancer, agent";
        /// First packets placed on a target.
        FlowsPlaced = "flows.placed", "first packets", "balancer";
        /// First packets passed to another balancer.
        FlowsPassedOn = "flows.passed_on", "first packets", "balancer";
        /// Requests that ran to their end.
        RequestsDone = "requests.done", "requests", "agent";
        /// Requests refused as not run.
        RequestsNotRun = "requests.not_run", "requests", "agent";
        /// Requests redirected to a peer.
        RequestsRedirected = "requests.redirected", "requests", "agent";
        /// Requests that failed at the backend server.
        RequestsFailed = "requests.failed", "requests", "agent";
        /// Requests that ended with an unknown outcome.
        RequestsUnknown = "requests.unknown", "requests", "agent";
        /// Load reports: those received by a balancer, those sent by an agent.
        Reports = "reports", "reports", "balancer, agent";
        /// Calls to the store.
        StoreCalls = "store.calls", "calls", "balancer, agent";
        /// Calls to the store without an answer.
        StoreErrors = "store.errors", "calls", "balancer, agent";
    }
    /// A gauge.
    Gauge "gauge" {
        /// Targets that accept new flows, over all services.
        TargetsReady = "targets.ready", "targets", "balancer";
        /// Live balancers: those in the store's list at a balancer, those that answer an agent.
        BalancersLive = "balancers.live", "balancers", "balancer, agent";
        /// Running requests.
        RequestsRunning = "requests.running", "requests", "agent";
        /// Requests waiting for a slot.
        RequestsWaiting = "requests.waiting", "requests", "agent";
        /// Open connections of callers.
        Connections = "connections", "connections", "agent";
        /// The revision of the configuration in force.
        ConfigurationRevision = "configuration.revision", "revision", "balancer, agent";
        /// Open control sessions.
        ControlSessions = "control.sessions", "sessions", "balancer";
    }
    /// A timer.
    Timer "timer" {
        /// From the arrival of a request to its start, with the tag `class`.
        RequestWait = "requests.wait", "ms", "agent";
        /// From the start of a request to its end, with the tag `class`.
        RequestService = "requests.service", "ms", "agent";
        /// One call to the store; watches, which wait for a change, are left out.
        StoreCall = "store.call", "ms", "balancer, agent";
        /// From the start of a drain to its end.
        Drain = "drain", "ms", "balancer, agent";
    }
}

const PAGE_HEAD: &str = "\
# Metrics

Daemons with `metrics_address` in their settings send metrics to it over UDP, in the `StatsD` format, once per second.
A name is `cranberrypitch.PROGRAM.NAME`, with the program `balancer` or `agent`. Each value has the tag `vm`.
Counters are sent as the increase since the last second, and only if there is one. The page is written by the test
`metrics_page_is_complete` (`UPDATE_EXPECT=1 cargo test -p cranberrypitch-net --test metrics`).

| name | type | unit | sent by | meaning |
|---|---|---|---|---|
";

/// Returns the catalogue as the page `docs/metrics.md`.
pub fn metrics_page() -> String {
    let mut page = String::from(PAGE_HEAD);
    for entry in CATALOGUE {
        let MetricEntry {
            name,
            kind,
            unit,
            source,
            meaning,
        } = entry;
        let row = format!("| `{name}` | {kind} | {unit} | {source} | {meaning} |\n");
        page.push_str(&row);
    }
    page.push_str("\n## Reasons of dropped datagrams\n\n| tag | reason |\n|---|---|\n");
    for reason in crate::events::DropReason::ALL {
        let tag = super::reason_tag(reason);
        let row = format!("| `reason:{tag}` | {reason} |\n");
        page.push_str(&row);
    }
    page
}
