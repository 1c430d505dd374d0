//! The metrics.

use derive_more::Display;

/// What the catalogue holds about a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricEntry {
    /// The name behind the prefix and the program.
    pub name: &'static str,
    /// The type in the `StatsD` format.
    pub kind: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// The programs that send it.
    pub source: &'static str,
    /// What is measured.
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
    /// What is counted.
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
        /// Requests handed to a peer.
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
    /// What is measured as a level.
    Gauge "gauge" {
        /// Targets that new flows may go to, over all services.
        TargetsReady = "targets.ready", "targets", "balancer";
        /// Live balancers: those in the store's list at a balancer, those that answer an agent.
        BalancersLive = "balancers.live", "balancers", "balancer, agent";
        /// Requests that run.
        RequestsRunning = "requests.running", "requests", "agent";
        /// Requests that wait for a slot.
        RequestsWaiting = "requests.waiting", "requests", "agent";
        /// Open connections of callers.
        Connections = "connections", "connections", "agent";
        /// The revision of the configuration in force.
        ConfigurationRevision = "configuration.revision", "revision", "balancer, agent";
        /// Control sessions that are open here.
        ControlSessions = "control.sessions", "sessions", "balancer";
    }
    /// What is measured as a time.
    Timer "timer" {
        /// From the arrival of a request to its start, with the tag `class`.
        RequestWait = "requests.wait", "ms", "agent";
        /// From the start of a request to its end, with the tag `class`.
        RequestService = "requests.service", "ms", "agent";
        /// One call to the store; watches, which wait on purpose, are left out.
        StoreCall = "store.call", "ms", "balancer, agent";
        /// From the start of a drain to its end.
        Drain = "drain", "ms", "balancer, agent";
    }
}

const PAGE_HEAD: &str = "\
# Metrics

Daemons with `metrics_address` in their settings send metrics to it over UDP, in the `StatsD` format, once per second.
A name is `cranberrypitch.PROGRAM.NAME`, with the program `balancer` or `agent`. Each value has the tag `vm`.
Counters are sent as the increase since the last time, and only when there is one. The page is written by the test
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
