//! `measure placement`: waits and imbalance of each placement policy.
//!
//! A discrete-event run drives the membership, placement and handoff decisions of the core with
//! the same flows for every policy. `docs/placement.md` describes the model.

mod calendar;
mod options;
mod queue;
mod report;
mod shared;
mod simulation;
mod statistics;
mod target;
mod workload;

use cranberrypitch_core::placement::Policy;
use pico_args::Arguments;

pub use self::options::Options;
pub use self::report::{Comparison, Row};
use self::simulation::Simulation;
use self::workload::Workload;
use crate::errors::Result;

/// Runs the verb with the options of the command line.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let options = Options::from_arguments(arguments)?;
    let comparison = compare(&options);
    if as_json {
        Ok(serde_json::to_string_pretty(&comparison)?)
    } else {
        Ok(comparison.to_string())
    }
}

/// Runs the shared queue and each policy, without and with handoff.
pub fn compare(options: &Options) -> Comparison {
    let policies = Policy::ALL.map(|policy| (policy, false));
    let with_handoff = Policy::ALL.map(|policy| (policy, true));
    compare_policies(options, &[policies, with_handoff].concat())
}

/// Runs the shared queue and some policies, each without (`false`) or with handoff.
pub fn compare_policies(options: &Options, policies: &[(Policy, bool)]) -> Comparison {
    let workload = Workload::generate(options);
    let shared_queue = shared::run(options, &workload);
    let rows = policies.iter().map(|&(policy, uses_handoff)| {
        Simulation::new(options, &workload, policy, uses_handoff).run()
    });
    Comparison {
        options: options.clone(),
        rows: std::iter::once(shared_queue).chain(rows).collect(),
    }
}
