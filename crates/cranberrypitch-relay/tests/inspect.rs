//! Tests of the status of running daemons that operators see.

use cranberrypitch_relay::inspect::{DaemonStatus, StatusTable};

/// Store calls are summed over operations and outcomes, and metrics of other programs are ignored.
#[test]
fn status_is_parsed_from_metrics() {
    let text = "# HELP cranberrypitch_flows Flows in the table.
# TYPE cranberrypitch_flows gauge
cranberrypitch_flows 12
cranberrypitch_flows_reset_total 3
cranberrypitch_store_calls_total{operation=\"list\",outcome=\"ok\"} 5
cranberrypitch_store_calls_total{operation=\"watch\",outcome=\"unavailable\"} 2
cranberrypitch_locate_time_seconds_sum 0.5
other_flows 99
# EOF
";
    let expected = DaemonStatus {
        flows: 12,
        flows_reset: 3,
        store_calls: 7,
        store_failures: 2,
        ..DaemonStatus::default()
    };
    assert_eq!(DaemonStatus::parse(text), expected);
}

/// A daemon that is down appears as a row with the error, and the table is not complete.
#[test]
fn unreachable_daemon_is_listed_with_its_error() {
    let table = StatusTable::fetch(&["127.0.0.1:1".parse().unwrap()]).unwrap();
    assert!(!table.is_complete());
    assert!(table.to_string().contains("127.0.0.1:1"), "{table}");
    assert!(table.to_string().contains("no answer"), "{table}");
}
