//! `measure dissemination`: calls to the store, messages, and the time until every balancer has a
//! configuration change, when balancers share their checks of the store and when each one watches it.

mod simulation;

use std::time::Duration;

use cranberrypitch_core::Result;
use serde::Serialize;

use self::simulation::Simulation;
use crate::discrete_event::validate_sizes;

/// The part of all VMs that run balancers; agents run on the others.
const BALANCER_SHARE: f64 = 0.3;

/// The parameters of the simulation.
#[derive(Clone, Debug)]
pub struct DisseminationOptions {
    /// The number of VMs, of which three in ten run balancers.
    pub vms: usize,
    /// The number of failure domains, which have the same number of balancers each.
    pub failure_domains: usize,
    /// The mean number of configuration changes per second.
    pub changes_per_s: f64,
    /// The part of the balancers of its failure domain that an agent knows.
    pub known_balancers: f64,
    /// The part of all datagrams that are lost.
    pub loss: f64,
    /// The time between two failures of a watching balancer, which then gets no answer for
    /// [`FAILURE_TIME`]; none if balancers do not fail.
    pub failure_interval: Option<Duration>,
    /// The simulated time, which starts after all balancers have read the store.
    pub duration: Duration,
}

/// The time for which a failing balancer gets no answer from the store and sends no checks.
pub const FAILURE_TIME: Duration = Duration::from_secs(3);

impl Default for DisseminationOptions {
    fn default() -> Self {
        Self {
            vms: 200,
            failure_domains: 6,
            changes_per_s: 0.1,
            known_balancers: 0.95,
            loss: 0.002,
            failure_interval: None,
            duration: Duration::from_mins(1),
        }
    }
}

/// How balancers follow the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Design {
    /// A few balancers watch the store and share their checks through agents.
    SharedChecks,
    /// Each balancer watches the store.
    OwnWatch,
}

impl Design {
    /// All designs.
    pub const ALL: [Self; 2] = [Self::SharedChecks, Self::OwnWatch];
}

/// The figures of a design.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DisseminationFigures {
    /// The design.
    pub design: Design,
    /// The number of calls to the store per second.
    pub store_calls_per_s: f64,
    /// The number of calls to the store per balancer and second.
    pub store_calls_per_balancer_s: f64,
    /// The number of bytes of checks per second within failure domains, with UDP and IP headers.
    pub local_bytes_per_s: f64,
    /// The number of bytes of checks per second between failure domains, with UDP and IP headers.
    pub remote_bytes_per_s: f64,
    /// The number of changes after which all balancers had the configuration or a newer one.
    pub complete_changes: usize,
    /// The median of the time until every balancer that did not fail had a change, in seconds.
    pub known_everywhere_p50_s: f64,
    /// The longest time until every balancer that did not fail had a change, in seconds.
    pub known_everywhere_max_s: f64,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DisseminationReport {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The number of balancers.
    pub balancers: usize,
    /// The figures of each design.
    pub figures: Vec<DisseminationFigures>,
}

/// Runs the simulation of every design with the same seed.
///
/// # Errors
///
/// Returns an error if an option is out of range.
pub fn run(options: &DisseminationOptions, seed: u64) -> Result<DisseminationReport> {
    let balancers = balancer_count(options);
    validate_sizes(
        1.0,
        &[
            ("failure_domains", options.failure_domains > 0),
            ("vms", balancers >= options.failure_domains),
            ("changes_per_s", options.changes_per_s > 0.0),
        ],
    )?;
    let figures = Design::ALL
        .iter()
        .map(|design| Simulation::new(options, balancers, *design, seed).run());
    Ok(DisseminationReport {
        seed,
        balancers,
        figures: figures.collect(),
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "fleets are far smaller than 2^52 VMs"
)]
fn balancer_count(options: &DisseminationOptions) -> usize {
    (options.vms as f64 * BALANCER_SHARE).round() as usize
}
