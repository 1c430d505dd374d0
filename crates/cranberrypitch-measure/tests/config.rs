//! Guards the measurement of the configuration: the same seed gives the same report, and a change
//! reaches everyone without a step back.

use cranberrypitch_measure::config::{Options, Scenario, run};

fn options() -> Options {
    let small = |scenario: Scenario| Scenario {
        processes_per_domain: scenario.processes_per_domain.min(20),
        ..scenario
    };
    Options {
        services: vec![4, 300],
        scenarios: Scenario::usual().into_iter().map(small).collect(),
        ..Options::default()
    }
}

/// Guards against a report that depends on anything but its options and seed.
#[test]
fn the_seed_decides() {
    let report = run(&options(), 7).unwrap();
    let again = serde_json::to_string(&run(&options(), 7).unwrap()).unwrap();
    assert!(serde_json::to_string(&report).unwrap() == again);
    assert!(report.spread != run(&options(), 8).unwrap().spread);
}

/// Guards against processes that a change does not reach, and deltas that grow with the text.
#[test]
fn changes_reach_everyone() {
    for seed in 0..5 {
        let report = run(&options(), seed).unwrap();
        for row in &report.spread {
            assert_eq!(
                (row.reached, row.reverted),
                (row.processes, 0),
                "{}",
                row.scenario.name
            );
        }
        for row in report.sizes.iter().filter(|r| r.chosen) {
            assert!(row.delta_bytes < 10_000, "{row:?}");
        }
    }
}
