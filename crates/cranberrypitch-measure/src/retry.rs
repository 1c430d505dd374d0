//! `measure retry`: attempts per request and goodput, without retries and with and without a budget.

mod simulation;

use std::time::Duration;

use cranberrypitch_core::Result;
use cranberrypitch_core::retry::RetryOptions;
use serde::Serialize;

use self::simulation::Simulation;
use crate::discrete_event::validate_sizes;

/// More retries than any caller makes in a run.
const UNBOUNDED_BUDGET_RETRIES: f64 = 1e6;

/// The parameters of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct RetryMeasureOptions {
    /// The number of targets.
    pub targets: u16,
    /// The number of requests that a target runs at the same time.
    pub slots: u32,
    /// The number of callers, each with its own retry budget.
    pub callers: u32,
    /// The offered load of the overload scenario, as a multiple of the capacity of all slots.
    pub overload: f64,
    /// The offered load while one backend server fails, as a fraction of the capacity of all slots.
    pub usual_load: f64,
    /// The mean of the exponentially distributed service time.
    pub service_time_mean: Duration,
    /// The maximum time from the arrival of a request to its start, over all its attempts.
    pub start_deadline: Duration,
    /// The simulated time.
    pub duration: Duration,
}

impl Default for RetryMeasureOptions {
    fn default() -> Self {
        Self {
            targets: 7,
            slots: 4,
            callers: 20,
            overload: 2.0,
            usual_load: 0.6,
            service_time_mean: Duration::from_secs(1),
            start_deadline: Duration::from_secs(2),
            duration: Duration::from_mins(1),
        }
    }
}

/// The results of one policy in one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RetryFigures {
    /// The fault scenario: `overload` or `failing_backend_server`.
    pub scenario: &'static str,
    /// The retry policy: `no_retry`, `without_budget` or `budget`.
    pub policy: &'static str,
    /// The number of requests of all callers.
    pub requests: u32,
    /// The number of attempts that reached a target.
    pub attempts: u32,
    /// The number of attempts per request.
    pub amplification: f64,
    /// The maximum of the attempts per second, as a multiple of the mean request rate.
    pub peak_amplification: f64,
    /// The fraction of requests that were done.
    #[serde(rename = "done")]
    pub done_fraction: f64,
    /// The slot time of requests that were done, as a fraction of the capacity of working targets.
    pub goodput: f64,
}

/// The results of all scenarios and policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RetryReport {
    /// The seed of the random generators.
    pub seed: u64,
    /// One entry per scenario and policy.
    pub figures: Vec<RetryFigures>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Overload,
    FailingBackendServer,
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    NoRetry,
    WithoutBudget,
    Budget,
}

impl Policy {
    fn options(self) -> RetryOptions {
        let options = RetryOptions::default();
        match self {
            Self::NoRetry => RetryOptions {
                attempts_max: 1,
                ..options
            },
            Self::WithoutBudget => RetryOptions {
                budget_max: UNBOUNDED_BUDGET_RETRIES,
                ..options
            },
            Self::Budget => options,
        }
    }
}

/// Simulates every scenario under every policy with the same arrivals.
///
/// # Errors
///
/// Returns an error for fewer than two targets, no callers, or a load out of range.
pub fn run(options: &RetryMeasureOptions, seed: u64) -> Result<RetryReport> {
    let sizes = [
        ("targets", options.targets >= 2),
        ("tenants", options.callers >= 1),
    ];
    validate_sizes(options.overload, &sizes)?;
    let mut figures = Vec::new();
    for scenario in [Scenario::Overload, Scenario::FailingBackendServer] {
        for policy in [Policy::NoRetry, Policy::WithoutBudget, Policy::Budget] {
            figures.push(Simulation::try_new(*options, scenario, policy, seed)?.run());
        }
    }
    Ok(RetryReport { seed, figures })
}
