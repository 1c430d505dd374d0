//! Tests the objectives of sharing configuration checks, as docs/platform.md states them.
//!
//! Load pattern: all balancers of a fleet of 30, 300 or 1,000 VMs follow the configuration while it
//! changes, and while the watching balancers fail.

use std::time::Duration;

use cranberrypitch_measure::dissemination::{
    Design, DisseminationFigures, DisseminationOptions, run,
};

const SEEDS: [u64; 3] = [1, 2, 3];
const FLEETS: [usize; 3] = [30, 300, 1000];

/// The shortest time within which the users' platform requires a change to be applied.
const MAX_APPLY_DELAY_S: f64 = 3.0;

/// The share of today's calls that the large fleets aim at.
const MAX_CALL_RATIO: f64 = 1.0 / 3.0;

fn figures(options: &DisseminationOptions, seed: u64, design: Design) -> DisseminationFigures {
    let report = run(options, seed).unwrap();
    let mut figures = report.figures.into_iter();
    figures.find(|figures| figures.design == design).unwrap()
}

/// Guards against calls to the store that grow with the fleet although nothing changes.
#[test]
fn calls_without_changes_do_not_grow_with_the_fleet() {
    for seed in SEEDS {
        for vms in FLEETS {
            let options = DisseminationOptions {
                vms,
                changes_per_s: 1e-6,
                ..DisseminationOptions::default()
            };
            let shared = figures(&options, seed, Design::SharedChecks);
            let own = figures(&options, seed, Design::OwnWatch);
            let is_small = vms == 30;
            let limit = if is_small { 1.0 } else { MAX_CALL_RATIO };
            assert!(
                shared.store_calls_per_s <= own.store_calls_per_s * limit,
                "seed {seed}, {vms} VMs: {shared:?}, {own:?}"
            );
        }
    }
}

/// Guards against changes that reach a balancer too late, with and without failures of the watching
/// balancers.
#[test]
fn changes_are_known_everywhere_in_time() {
    for seed in SEEDS {
        for vms in FLEETS {
            for failure_interval in [None, Some(Duration::from_secs(5))] {
                let options = DisseminationOptions {
                    vms,
                    changes_per_s: 0.5,
                    failure_interval,
                    ..DisseminationOptions::default()
                };
                let shared = figures(&options, seed, Design::SharedChecks);
                assert!(shared.complete_changes > 10, "{shared:?}");
                assert!(
                    shared.known_everywhere_max_s <= MAX_APPLY_DELAY_S,
                    "seed {seed}, {vms} VMs, failures {failure_interval:?}: {shared:?}"
                );
            }
        }
    }
}

/// The same seed must give the same output.
#[test]
fn a_run_repeats() {
    let options = DisseminationOptions::default();
    assert_eq!(run(&options, 7).unwrap(), run(&options, 7).unwrap());
}
