//! `measure placement`: waits and load imbalance under each placement policy.
//!
//! A discrete-event simulation drives the membership, placement and handoff decisions of the core
//! with the same workload for every policy. `docs/placement.md` describes the model.

mod event_queue;
mod options;
mod queue;
mod report;
mod shared_queue;
mod simulation;
mod statistics;
mod target;
mod workload;

use cranberrypitch_core::placement::Policy;
use pico_args::Arguments;

pub use self::options::Options;
pub use self::report::{PlacementFigures, PlacementReport};
use self::simulation::Simulation;
use self::workload::Workload;
use crate::errors::Result;

/// Runs `measure placement` and returns its report as text or JSON.
///
/// # Errors
///
/// Returns an error for invalid options.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let options = Options::from_arguments(arguments)?;
    let report = compare(&options);
    if as_json {
        Ok(serde_json::to_string_pretty(&report)?)
    } else {
        Ok(report.to_string())
    }
}

/// Simulates the shared queue and every policy, without and with handoff.
pub fn compare(options: &Options) -> PlacementReport {
    let policies = Policy::ALL.map(|policy| (policy, false));
    let with_handoff = Policy::ALL.map(|policy| (policy, true));
    compare_policies(options, &[policies, with_handoff].concat())
}

/// Simulates the shared queue and the given policies; the flag enables handoff.
pub fn compare_policies(options: &Options, policies: &[(Policy, bool)]) -> PlacementReport {
    let workload = Workload::generate(options);
    let shared_queue = shared_queue::run(options, &workload);
    let rows = policies.iter().map(|&(policy, uses_handoff)| {
        Simulation::new(options, &workload, policy, uses_handoff).run()
    });
    PlacementReport {
        options: options.clone(),
        rows: std::iter::once(shared_queue).chain(rows).collect(),
    }
}
