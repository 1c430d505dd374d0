//! Tests the objectives of the design page for admission, retries and drains, on fixed seeds.

use cranberrypitch_measure::admission::{self, AdmissionMeasureOptions};
use cranberrypitch_measure::drain::{self, DrainMeasureOptions};
use cranberrypitch_measure::retry::{self, RetryFigures, RetryMeasureOptions};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Guards against a loss of goodput under overload or a cold start, and against unequal service of
/// organisations with equal demand.
#[test]
fn admission_keeps_goodput_and_fairness() {
    for (organisations, seed) in [8, 20, 40]
        .into_iter()
        .flat_map(|t| SEEDS.map(move |s| (t, s)))
    {
        let options = AdmissionMeasureOptions {
            organisations,
            ..AdmissionMeasureOptions::default()
        };
        let report = admission::run(&options, seed).expect("the options are valid");
        let of_queues = |policy| policy == "tenant_queues";
        for figures in report.figures.iter().filter(|f| of_queues(f.policy)) {
            assert!(figures.goodput >= 0.9, "{seed} {figures:?}");
            assert!(figures.jain_index >= 0.97, "{seed} {figures:?}");
            assert!(figures.started_late == 0, "{seed} {figures:?}");
            assert!(figures.early_refusal_fraction >= 0.75, "{seed} {figures:?}");
        }
    }
}

/// Guards against retries that amplify an overload, and against a retry budget that is too small for
/// one failing backend server.
#[test]
fn budget_bounds_retries() {
    for seed in SEEDS {
        let report = retry::run(&RetryMeasureOptions::default(), seed).expect("they are valid");
        let figures = |scenario, policy| -> &RetryFigures {
            let mut all = report.figures.iter();
            let found = all.find(|f| f.scenario == scenario && f.policy == policy);
            found.expect("every policy runs in every scenario")
        };
        assert!(figures("overload", "budget").amplification <= 1.15);
        assert!(figures("overload", "without_budget").amplification >= 1.5);
        assert!(figures("overload", "budget").goodput >= 0.9);
        let failing = "failing_backend_server";
        assert!(figures(failing, "budget").done_fraction >= 0.9);
        assert!(
            figures(failing, "budget").done_fraction > figures(failing, "no_retry").done_fraction
        );
    }
}

/// Guards against new work that a draining target starts and work that it interrupts, whenever the
/// drain becomes visible to balancers, and against missing or repeated readings of moved feeds.
#[test]
fn drain_interrupts_no_work() {
    for seed in SEEDS {
        let report = drain::run(&DrainMeasureOptions::default(), seed).expect("they are valid");
        for figures in report.figures.iter().filter(|f| f.policy == "graceful") {
            assert_eq!(figures.new_work_started, 0, "{seed} {figures:?}");
            assert!(figures.last_start_s <= 2.0, "{seed} {figures:?}");
            let interrupted = (figures.requests_interrupted, figures.feeds_interrupted);
            assert_eq!(interrupted, (0, 0), "{seed} {figures:?}");
            let readings = (figures.readings_missing, figures.readings_repeated);
            assert_eq!(readings, (0, 0), "{seed} {figures:?}");
            assert!(figures.drain_s.is_some(), "{seed} {figures:?}");
            assert_eq!(figures.feeds_moved, 18, "{seed} {figures:?}");
        }
    }
}

/// Guards against results that differ between runs with the same seed.
#[test]
fn same_seed_gives_the_same_figures() {
    let first = admission::run(&AdmissionMeasureOptions::default(), 7);
    let second = admission::run(&AdmissionMeasureOptions::default(), 7);
    assert_eq!(first, second);
    let first = retry::run(&RetryMeasureOptions::default(), 7);
    let second = retry::run(&RetryMeasureOptions::default(), 7);
    assert_eq!(first, second);
    let first = drain::run(&DrainMeasureOptions::default(), 7);
    let second = drain::run(&DrainMeasureOptions::default(), 7);
    assert_eq!(first, second);
}
