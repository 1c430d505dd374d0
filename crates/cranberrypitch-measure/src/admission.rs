//! `measure admission`: goodput, fairness, early refusals and waits at one backend server.

mod fifo;
mod policy;
mod simulation;

use std::time::Duration;

use cranberrypitch_core::Result;
use serde::Serialize;

use self::simulation::Simulation;
use crate::discrete_event::validate_sizes;

/// The warm-up time of a cold backend server.
const WARM_UP: Duration = Duration::from_secs(10);

/// The parameters of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionMeasureOptions {
    /// The number of requests that the backend server runs at the same time.
    pub slots: u32,
    /// The number of organisations.
    pub organisations: u32,
    /// The offered load, as a multiple of the capacity of all slots.
    pub load: f64,
    /// The mean of the exponentially distributed service time.
    pub service_time_mean: Duration,
    /// The maximum time from the arrival of a request to its start.
    pub start_deadline: Duration,
    /// The simulated time.
    pub duration: Duration,
}

impl Default for AdmissionMeasureOptions {
    fn default() -> Self {
        Self {
            slots: 4,
            organisations: 8,
            load: 2.0,
            service_time_mean: Duration::from_secs(1),
            start_deadline: Duration::from_secs(2),
            duration: Duration::from_mins(1),
        }
    }
}

/// The results of one policy in one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionFigures {
    /// The load scenario: `overload`, `heavy_tenant` or `cold_start`.
    pub scenario: &'static str,
    /// The admission policy: `tenant_queues`, `fifo` or `fifo_with_deadline`.
    pub policy: &'static str,
    /// The number of requests that arrived.
    pub arrived: u32,
    /// The number of requests that started within their deadline.
    pub started_in_time: u32,
    /// The number of requests that started after their deadline.
    pub started_late: u32,
    /// The number of requests that were refused.
    pub refused: u32,
    /// The slot time of requests that started in time, as a fraction of the capacity.
    pub goodput: f64,
    /// Jain's index of the requests started in time, over the organisations of equal demand.
    #[serde(rename = "jain")]
    pub jain_index: f64,
    /// The fraction of requests that started in time, over the organisations of equal demand.
    #[serde(rename = "usual_tenants_served")]
    pub usual_organisations_served_fraction: f64,
    /// The fraction of requests that started in time, for the organisation with ten times the demand.
    #[serde(rename = "heavy_tenant_served")]
    pub heavy_organisation_served_fraction: f64,
    /// The fraction of refusals that were sent at the arrival of the request.
    #[serde(rename = "refused_at_arrival")]
    pub refused_at_arrival_fraction: f64,
    /// The fraction of refusals with at least a quarter of the deadline left for a retry elsewhere.
    #[serde(rename = "early_refusals")]
    pub early_refusal_fraction: f64,
    /// The median wait of requests that started, in seconds.
    pub wait_p50_s: f64,
    /// The 90th percentile of these waits, in seconds.
    pub wait_p90_s: f64,
    /// The 99th percentile of these waits, in seconds.
    pub wait_p99_s: f64,
}

/// The results of all scenarios and policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionReport {
    /// The seed of the random generators.
    pub seed: u64,
    /// One entry per scenario and policy.
    pub figures: Vec<AdmissionFigures>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Overload,
    HeavyOrganisation,
    ColdStart,
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    OrganisationQueues,
    Fifo,
    FifoWithDeadline,
}

/// Simulates every scenario under every policy with the same arrivals.
///
/// # Errors
///
/// Returns an error for fewer than two organisations or a load out of range.
pub fn run(options: &AdmissionMeasureOptions, seed: u64) -> Result<AdmissionReport> {
    validate_sizes(options.load, &[("tenants", options.organisations >= 2)])?;
    let mut figures = Vec::new();
    for scenario in [
        Scenario::Overload,
        Scenario::HeavyOrganisation,
        Scenario::ColdStart,
    ] {
        for policy in [
            Policy::OrganisationQueues,
            Policy::Fifo,
            Policy::FifoWithDeadline,
        ] {
            figures.push(Simulation::try_new(*options, scenario, policy, seed)?.run());
        }
    }
    Ok(AdmissionReport { seed, figures })
}
