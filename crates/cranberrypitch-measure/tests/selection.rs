//! Tests the objectives of target selection on the relayed path, as docs/platform.md states them.

use cranberrypitch_measure::selection::{
    LoadPattern, Policy, SelectionFigures, SelectionMeasureOptions, run, run_one,
};

const SEEDS: [u64; 3] = [1, 2, 3];

/// The minimum of the fraction in time under the selection, relative to one shared queue.
const MIN_RATIO_TO_BOUND: f64 = 0.95;

/// The amount by which the fraction in time of a simple policy may exceed that of the selection.
const SIMPLE_POLICY_MARGIN: f64 = 0.01;

fn figures(seed: u64) -> Vec<SelectionFigures> {
    let report = run(&SelectionMeasureOptions::default(), seed).unwrap();
    report.figures
}

fn find(figures: &[SelectionFigures], pattern: LoadPattern, policy: Policy) -> &SelectionFigures {
    let mut found = figures.iter();
    found
        .find(|f| (f.pattern, f.policy) == (pattern, policy))
        .unwrap()
}

/// Guards against requests that miss the latency objective under the selection, but not with one shared
/// queue in front of all slots, for every load pattern.
#[test]
fn selection_serves_nearly_what_one_queue_does() {
    for seed in SEEDS {
        let figures = figures(seed);
        for pattern in LoadPattern::ALL {
            let bound = find(&figures, pattern, Policy::SharedQueue).in_time_fraction;
            let selection = find(&figures, pattern, Policy::Selection);
            let minimum = bound * MIN_RATIO_TO_BOUND;
            assert!(
                selection.in_time_fraction >= minimum,
                "seed {seed}: {selection:?}, minimum {minimum}"
            );
        }
    }
}

/// Guards against a simple policy that serves more requests in time, or sends fewer to other failure
/// domains. The policy that uses only the own failure domain is exempt from the second check.
#[test]
fn no_simple_policy_is_better() {
    for seed in SEEDS {
        let figures = figures(seed);
        for pattern in LoadPattern::ALL {
            let selection = find(&figures, pattern, Policy::Selection);
            for policy in Policy::ALL {
                let other = find(&figures, pattern, policy);
                if matches!(
                    policy,
                    Policy::Selection | Policy::SharedQueue | Policy::WithoutDecline
                ) {
                    continue;
                }
                let required = other.in_time_fraction - SIMPLE_POLICY_MARGIN;
                assert!(
                    selection.in_time_fraction >= required,
                    "{selection:?} {other:?}"
                );
                let is_local = policy == Policy::OwnDomain;
                assert!(
                    is_local || selection.remote_fraction < other.remote_fraction,
                    "{other:?}"
                );
            }
        }
    }
}

/// Guards against herding in large deployments: several balancers of a failure domain receive the same
/// low load report and open all flows at that target. With agents that decline excess flows and hold new
/// ones while their target is busy, more requests are in time where load or service times are uneven,
/// and nearly as many as with one queue in front of all slots.
#[test]
fn declining_agents_serve_more_in_time_than_stale_reports_alone() {
    let options = SelectionMeasureOptions::large_deployment();
    for seed in SEEDS {
        let in_time = |pattern, policy| {
            run_one(&options, pattern, policy, seed)
                .unwrap()
                .in_time_fraction
        };
        for pattern in LoadPattern::ALL {
            let selection = in_time(pattern, Policy::Selection);
            let minimum = in_time(pattern, Policy::SharedQueue) * MIN_RATIO_TO_BOUND;
            assert!(
                selection >= minimum,
                "seed {seed}: {pattern:?} {selection}, minimum {minimum}"
            );
            let is_uneven = matches!(
                pattern,
                LoadPattern::HeavyDomain
                    | LoadPattern::DoubleLoad
                    | LoadPattern::SlowDomain
                    | LoadPattern::UnevenSpeeds
                    | LoadPattern::Waves
            );
            if is_uneven {
                let undeclined = in_time(pattern, Policy::WithoutDecline);
                assert!(
                    selection > undeclined,
                    "seed {seed}: {pattern:?} {selection}, {undeclined} without declines"
                );
            }
        }
    }
}

/// Guards against results that differ between runs with the same seed.
#[test]
fn figures_depend_on_the_seed_alone() {
    assert_eq!(figures(7), figures(7));
}
