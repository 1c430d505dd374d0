//! The results of all policies, as JSON and as a table.

use std::fmt;

use serde::Serialize;

use super::options::Options;

/// The results of one policy, with or without handoff.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementFigures {
    /// The name of the policy, or `shared-queue` for the lower bound on waits.
    pub policy: Box<str>,
    /// Whether agents redirect waiting requests to peers.
    #[serde(rename = "handoff")]
    pub uses_handoff: bool,
    /// The mean wait, from the arrival of a request at its first agent to its start.
    pub wait_mean_s: f64,
    /// The 99th percentile of the waits.
    pub wait_p99_s: f64,
    /// The maximum over the mean of the requests at a target, averaged over windows of one second.
    #[serde(rename = "requests_max_by_mean")]
    pub requests_max_over_mean: f64,
    /// The maximum over the mean of the open flows at a target, averaged over windows of one second.
    #[serde(rename = "flows_max_by_mean")]
    pub flows_max_over_mean: f64,
    /// Jain's index of the fraction of requests that were started, over organisations.
    pub jain_served: f64,
    /// Jain's index of the mean wait, over organisations.
    pub jain_wait: f64,
    /// The fraction of flows that a balancer placed in its own failure domain.
    pub local_share: f64,
    /// The number of flows that were open at a killed target or never reached a live one.
    pub broken_flows: u32,
    /// The number of requests that were refused without being run.
    pub refusals: u32,
    /// The number of requests that were started.
    pub started: usize,
    /// The number of requests that were redirected to a peer.
    pub redirects: u32,
    /// The number of redirected requests whose reservation had expired on arrival.
    pub late_redirects: u32,
    /// The rate of messages between agents, per agent and second of simulated time.
    pub peer_messages_per_agent_second: f64,
}

/// The results of all policies on the same workload.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementReport {
    /// The parameters of the simulation.
    pub options: Options,
    /// One row per policy and handoff setting; the shared queue comes first.
    pub rows: Vec<PlacementFigures>,
}

impl PlacementReport {
    /// Returns the row of a policy, or `None` if it was not run.
    pub fn row(&self, policy: &str, uses_handoff: bool) -> Option<&PlacementFigures> {
        let matches =
            |row: &&PlacementFigures| &*row.policy == policy && row.uses_handoff == uses_handoff;
        self.rows.iter().find(matches)
    }
}

impl fmt::Display for PlacementReport {
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
                row.uses_handoff,
                row.wait_mean_s,
                row.wait_p99_s,
                row.requests_max_over_mean,
                row.flows_max_over_mean,
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
