//! Tests the configuration measurement: the report is reproducible, and a change reaches every process
//! without reverts.

use cranberrypitch_measure::config::{Options, Scenario, run};

fn options() -> Options {
    let small = |scenario: Scenario| Scenario {
        processes_per_domain: scenario.processes_per_domain.min(20),
        ..scenario
    };
    Options {
        services: vec![4, 300],
        scenarios: Scenario::defaults().into_iter().map(small).collect(),
        ..Options::default()
    }
}

/// Guards against a report that depends on anything but its options and seed.
#[test]
fn seed_determines_the_report() {
    let report = run(&options(), 7).unwrap();
    let again = serde_json::to_string(&run(&options(), 7).unwrap()).unwrap();
    assert!(serde_json::to_string(&report).unwrap() == again);
    assert!(report.propagation != run(&options(), 8).unwrap().propagation);
}

/// Guards against processes that a change doesn't reach, and against deltas that grow with the
/// configuration.
#[test]
fn changes_reach_every_process() {
    for seed in 0..5 {
        let report = run(&options(), seed).unwrap();
        for row in &report.propagation {
            assert_eq!(
                (row.reached, row.reverted),
                (row.processes, 0),
                "{}",
                row.scenario.name
            );
        }
        for row in report.sizes.iter().filter(|r| r.is_default_shard_count) {
            assert!(row.delta_bytes < 10_000, "{row:?}");
        }
    }
}
