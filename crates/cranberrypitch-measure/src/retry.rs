//! Measures retries: how many attempts a request costs, with and without a budget.

mod simulation;

use std::time::Duration;

use cranberrypitch_core::Result;
use cranberrypitch_core::retry::RetryOptions;
use serde::Serialize;

use self::simulation::Simulation;
use crate::timeline::check_sizes;

const UNBOUNDED_BUDGET: f64 = 1e6;

/// The sizes of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct RetryMeasureOptions {
    /// The targets.
    pub targets: u16,
    /// The slots of each target.
    pub slots: u32,
    /// The callers, each with a budget of its own.
    pub callers: u32,
    /// The demand under overload, as a multiple of all slots.
    pub overload: f64,
    /// The demand while one backend server fails.
    pub usual_load: f64,
    /// The mean service time, which is distributed exponentially.
    pub service: Duration,
    /// The time within which a request must start, over all its attempts.
    pub deadline: Duration,
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
            service: Duration::from_secs(1),
            deadline: Duration::from_secs(2),
            duration: Duration::from_mins(1),
        }
    }
}

/// The figures of one policy in one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RetryFigures {
    /// What goes wrong.
    pub scenario: &'static str,
    /// How callers retry.
    pub policy: &'static str,
    /// Requests that callers made.
    pub requests: u32,
    /// Attempts that reached a target.
    pub attempts: u32,
    /// Attempts per request.
    pub amplification: f64,
    /// The most attempts in one second, as a multiple of the mean requests in one second.
    pub peak_amplification: f64,
    /// Requests that were done, as a fraction of all.
    pub done: f64,
    /// Slot time of requests that were done, as a fraction of the capacity of working targets.
    pub goodput: f64,
}

/// The figures of all scenarios and policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RetryReport {
    /// The seed.
    pub seed: u64,
    /// The figures.
    pub figures: Vec<RetryFigures>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Overload,
    FailingBackendServer,
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    None,
    Unbounded,
    Budget,
}

impl Policy {
    fn options(self) -> RetryOptions {
        let options = RetryOptions::default();
        match self {
            Self::None => RetryOptions {
                attempts_max: 1,
                ..options
            },
            Self::Unbounded => RetryOptions {
                budget_max: UNBOUNDED_BUDGET,
                ..options
            },
            Self::Budget => options,
        }
    }
}

/// Runs every scenario under every policy with the same arrivals.
pub fn run(options: &RetryMeasureOptions, seed: u64) -> Result<RetryReport> {
    let sizes = [
        ("targets", options.targets >= 2),
        ("tenants", options.callers >= 1),
    ];
    check_sizes(options.overload, &sizes)?;
    let mut figures = Vec::new();
    for scenario in [Scenario::Overload, Scenario::FailingBackendServer] {
        for policy in [Policy::None, Policy::Unbounded, Policy::Budget] {
            figures.push(Simulation::try_new(*options, scenario, policy, seed)?.run());
        }
    }
    Ok(RetryReport { seed, figures })
}
