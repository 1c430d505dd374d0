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
    let workload = Workload::generate(options);
    let mut rows = vec![shared::run(options, &workload)];
    for uses_handoff in [false, true] {
        for policy in Policy::ALL {
            rows.push(Simulation::new(options, &workload, policy, uses_handoff).run());
        }
    }
    Comparison {
        options: options.clone(),
        rows,
    }
}
