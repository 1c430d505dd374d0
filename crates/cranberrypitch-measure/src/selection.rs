//! `measure selection`: waits, refusals and locality when the balancers of the relayed path select
//! targets for new flows, compared with simple policies and one shared queue.
//!
//! The default model is a small deployment: failure domains with balancers, targets with slots and a
//! queue, long feeds that send one request per second on average, and orders with one flow each.

mod simulation;
mod target;
mod target_selector;

use std::time::Duration;

use cranberrypitch_core::Result;
use serde::Serialize;

use self::simulation::Simulation;
use crate::discrete_event::validate_sizes;

/// The parameters of the simulation.
#[derive(Clone, Debug)]
pub struct SelectionMeasureOptions {
    /// The number of targets in each failure domain.
    pub targets_per_domain: Vec<usize>,
    /// The number of balancers in each failure domain; they share state only through load reports.
    pub balancers_per_domain: usize,
    /// The number of requests that a target runs at the same time.
    pub slots: u32,
    /// The maximum number of requests that wait at a target; further ones are refused.
    pub queue_len_max: usize,
    /// The number of feeds in each failure domain; each sends one request per second on average.
    pub feeds_per_domain: usize,
    /// The arrival rate of orders in each failure domain.
    pub orders_per_second: f64,
    /// The factor on the number of feeds and the arrival rate of orders.
    pub load: f64,
    /// The mean of the service time, which is uniform from half to one and a half times this value.
    pub service_time_mean: Duration,
    /// The maximum time from arrival to response of a request that counts as in time.
    pub latency_objective: Duration,
    /// The one-way network delay between failure domains.
    pub inter_domain_delay: Duration,
    /// The time after a start in which a target is slower by [`COLD_SERVICE_TIME_FACTOR`].
    pub warm_up: Duration,
    /// The interval between load reports of a target.
    pub report_interval: Duration,
    /// The simulated time.
    pub duration: Duration,
}

/// The duration of the outage in [`LoadPattern::Outage`].
pub const OUTAGE_DURATION: Duration = Duration::from_millis(1500);

/// The factor on the service time of a target that is still warming up.
pub const COLD_SERVICE_TIME_FACTOR: f64 = 1.6;

impl SelectionMeasureOptions {
    /// Returns the parameters of a large deployment: several balancers in each failure domain, targets
    /// with few slots.
    #[must_use]
    pub fn large_deployment() -> Self {
        Self {
            targets_per_domain: vec![12, 12, 11, 11],
            balancers_per_domain: 6,
            slots: 2,
            queue_len_max: 8,
            feeds_per_domain: 285,
            orders_per_second: 81.0,
            latency_objective: Duration::from_millis(300),
            ..Self::default()
        }
    }
}

impl Default for SelectionMeasureOptions {
    fn default() -> Self {
        Self {
            targets_per_domain: vec![2, 2, 2, 1],
            balancers_per_domain: 1,
            slots: 4,
            queue_len_max: 16,
            feeds_per_domain: 74,
            orders_per_second: 21.0,
            load: 1.0,
            service_time_mean: Duration::from_millis(32),
            latency_objective: Duration::from_millis(200),
            inter_domain_delay: Duration::from_micros(3900),
            warm_up: Duration::from_secs(2),
            report_interval: Duration::from_millis(200),
            duration: Duration::from_secs(34),
        }
    }
}

/// The load or fault pattern of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadPattern {
    /// The configured load without faults.
    Usual,
    /// The first failure domain has three times the load.
    #[serde(rename = "one_domain")]
    HeavyDomain,
    /// All failure domains have twice the load.
    #[serde(rename = "double")]
    DoubleLoad,
    /// The targets of the first failure domain have three times the service time.
    SlowDomain,
    /// All targets restart halfway through the run, and all feeds reopen.
    Restart,
    /// All VMs lose power for [`OUTAGE_DURATION`] halfway through the run; callers retry when power
    /// returns.
    Outage,
    /// A quarter of the targets runs at 0.55 of the nominal speed and the others at 1.2.
    UnevenSpeeds,
    /// The load of each failure domain rises and falls by 55%, with shifted phases.
    Waves,
}

impl LoadPattern {
    /// All patterns.
    pub const ALL: [Self; 8] = [
        Self::Usual,
        Self::HeavyDomain,
        Self::DoubleLoad,
        Self::SlowDomain,
        Self::Restart,
        Self::Outage,
        Self::UnevenSpeeds,
        Self::Waves,
    ];
}

/// The policy that selects the target of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// One queue in front of all slots, as the upper bound on requests in time.
    SharedQueue,
    /// The selection of the core, where busy agents decline and hold new flows.
    Selection,
    /// The selection of the core, with agents that accept every flow at once, whatever their load.
    #[serde(rename = "undeclined")]
    WithoutDecline,
    /// The selection of the core, restricted to the balancer's own failure domain.
    OwnDomain,
    /// A hash of the flow key.
    Hash,
    /// A target at random, uniformly.
    Random,
    /// Round-robin at each balancer.
    RoundRobin,
    /// A target with the fewest open flows in the last reports.
    LeastFlows,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 8] = [
        Self::SharedQueue,
        Self::Selection,
        Self::WithoutDecline,
        Self::OwnDomain,
        Self::Hash,
        Self::Random,
        Self::RoundRobin,
        Self::LeastFlows,
    ];
}

/// The results of one policy under one load pattern.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SelectionFigures {
    /// The load or fault pattern.
    pub pattern: LoadPattern,
    /// The policy that selected the targets.
    pub policy: Policy,
    /// The number of requests.
    pub requests: u32,
    /// The fraction of requests that met the latency objective.
    #[serde(rename = "in_time")]
    pub in_time_fraction: f64,
    /// The fraction of feed requests that met the latency objective.
    #[serde(rename = "feeds_in_time")]
    pub feeds_in_time_fraction: f64,
    /// The fraction of orders that met the latency objective.
    #[serde(rename = "orders_in_time")]
    pub orders_in_time_fraction: f64,
    /// The lowest fraction in time among the failure domains of callers.
    #[serde(rename = "worst_domain")]
    pub worst_domain_in_time_fraction: f64,
    /// The lowest fraction in time among windows of two seconds.
    #[serde(rename = "worst_window")]
    pub worst_window_in_time_fraction: f64,
    /// The fraction of requests that were refused, at arrival or because their flow was held too long.
    #[serde(rename = "refused")]
    pub refused_fraction: f64,
    /// The 99th percentile of the wait from arrival to start, in seconds.
    pub wait_p99_s: f64,
    /// The fraction of requests that were sent to another failure domain.
    #[serde(rename = "remote")]
    pub remote_fraction: f64,
}

/// The results of all load patterns and policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SelectionReport {
    /// The seed of the random generators.
    pub seed: u64,
    /// One entry per load pattern and policy.
    pub figures: Vec<SelectionFigures>,
}

/// Simulates every load pattern under every policy.
///
/// # Errors
///
/// Returns an error for fewer than two targets, no slots or balancers, or a load out of range.
pub fn run(options: &SelectionMeasureOptions, seed: u64) -> Result<SelectionReport> {
    let mut figures = Vec::new();
    for pattern in LoadPattern::ALL {
        for policy in Policy::ALL {
            figures.push(run_one(options, pattern, policy, seed)?);
        }
    }
    Ok(SelectionReport { seed, figures })
}

/// Simulates one load pattern under one policy.
///
/// # Errors
///
/// Returns an error for fewer than two targets, no slots or balancers, or a load out of range.
pub fn run_one(
    options: &SelectionMeasureOptions,
    pattern: LoadPattern,
    policy: Policy,
    seed: u64,
) -> Result<SelectionFigures> {
    let sizes = [
        (
            "targets",
            options.targets_per_domain.iter().sum::<usize>() >= 2,
        ),
        ("slots", options.slots >= 1),
        ("balancers", options.balancers_per_domain >= 1),
    ];
    validate_sizes(options.load, &sizes)?;
    Ok(Simulation::try_new(options, pattern, policy, seed)?.run())
}
