//! The result of a run.

use std::fmt;

use serde::Serialize;

use super::options::Options;

/// The figures of one policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The policy, or `shared-queue` for the bound.
    pub policy: Box<str>,
    /// Whether waiting requests move to peers.
    pub handoff: bool,
    /// The mean time from a request's arrival at its first agent to its start.
    pub wait_mean_s: f64,
    /// The 99th percentile of that time.
    pub wait_p99_s: f64,
    /// The highest by the mean number of requests at a target, in windows of one second.
    pub requests_max_by_mean: f64,
    /// The highest by the mean number of open flows at a target.
    pub flows_max_by_mean: f64,
    /// Jain's index of the share of requests that were started, over organisations.
    pub jain_served: f64,
    /// Jain's index of the mean wait, over organisations.
    pub jain_wait: f64,
    /// The share of flows that a balancer placed in its own failure domain.
    pub local_share: f64,
    /// Flows that were open at a killed target or reached none.
    pub broken_flows: u32,
    /// Requests that were refused as not run.
    pub refusals: u32,
    /// Requests that were started.
    pub started: usize,
    /// Requests that were redirected to a peer.
    pub redirects: u32,
    /// Redirected requests whose reservation had expired.
    pub late_redirects: u32,
    /// Messages between agents.
    pub peer_messages_per_agent_second: f64,
}

/// The figures of all policies on the same flows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The sizes.
    pub options: Options,
    /// One row per policy, first the shared queue.
    pub rows: Vec<Row>,
}

impl Comparison {
    /// Returns the row of a policy.
    pub fn row(&self, policy: &str, uses_handoff: bool) -> Option<&Row> {
        let is_wanted = |row: &&Row| &*row.policy == policy && row.handoff == uses_handoff;
        self.rows.iter().find(is_wanted)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:15} {:7} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>7} {:>9} {:>5} {:>6}",
            "policy",
            "handoff",
            "mean s",
            "p99 s",
            "req m/m",
            "flo m/m",
            "j serve",
            "j wait",
            "broken",
            "refused",
            "redirects",
            "late",
            "msg/s"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:15} {:7} {:8.4} {:8.4} {:7.3} {:7.3} {:7.4} {:7.4} {:6} {:7} {:9} {:5} {:6.2}",
                row.policy,
                row.handoff,
                row.wait_mean_s,
                row.wait_p99_s,
                row.requests_max_by_mean,
                row.flows_max_by_mean,
                row.jain_served,
                row.jain_wait,
                row.broken_flows,
                row.refusals,
                row.redirects,
                row.late_redirects,
                row.peer_messages_per_agent_second
            )?;
        }
        Ok(())
    }
}
