//! Measures admission at one backend server: goodput, fairness, early refusals and waits.

mod desk;
mod fifo;
mod simulation;

use std::time::Duration;

use cranberrypitch_core::Result;
use serde::Serialize;

use self::simulation::Simulation;
use crate::timeline::check_sizes;

/// The time in which a cold backend server becomes warm.
const RAMP: Duration = Duration::from_secs(10);

/// The sizes of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionMeasureOptions {
    /// The slots of the backend server.
    pub slots: u32,
    /// The organisations.
    pub organisations: u32,
    /// The demand as a multiple of the slots.
    pub load: f64,
    /// The mean service time, which is distributed exponentially.
    pub service: Duration,
    /// The time within which a request must start.
    pub deadline: Duration,
    /// The simulated time.
    pub duration: Duration,
}

impl Default for AdmissionMeasureOptions {
    fn default() -> Self {
        Self {
            slots: 4,
            organisations: 8,
            load: 2.0,
            service: Duration::from_secs(1),
            deadline: Duration::from_secs(2),
            duration: Duration::from_mins(1),
        }
    }
}

/// The figures of one policy in one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionFigures {
    /// What is asked of the backend server.
    pub scenario: &'static str,
    /// How requests are admitted.
    pub policy: &'static str,
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests that started within their deadline.
    pub started_in_time: u32,
    /// Requests that started after their deadline.
    pub started_late: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Slot time of requests that started in time, as a fraction of the capacity.
    pub goodput: f64,
    /// Jain's index of requests started in time over the organisations of equal demand.
    pub jain: f64,
    /// The fraction of requests of an organisation of usual demand that started in time.
    #[serde(rename = "usual_tenants_served")]
    pub usual_organisations_served: f64,
    /// The fraction of requests of the organisation with ten times the demand that started in time.
    #[serde(rename = "heavy_tenant_served")]
    pub heavy_organisation_served: f64,
    /// The fraction of refusals that came at the arrival.
    pub refused_at_arrival: f64,
    /// The fraction of refusals that left at least a quarter of the deadline to try elsewhere.
    pub early_refusals: f64,
    /// The median wait of requests that started, in seconds.
    pub wait_p50_s: f64,
    /// The 90th percentile of these waits.
    pub wait_p90_s: f64,
    /// The 99th percentile of these waits.
    pub wait_p99_s: f64,
}

/// The figures of all scenarios and policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionReport {
    /// The seed.
    pub seed: u64,
    /// The figures.
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

/// Runs every scenario under every policy with the same arrivals.
pub fn run(options: &AdmissionMeasureOptions, seed: u64) -> Result<AdmissionReport> {
    check_sizes(options.load, &[("tenants", options.organisations >= 2)])?;
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
