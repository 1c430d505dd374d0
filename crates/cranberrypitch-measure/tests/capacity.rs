//! Tests the limits of capacity figures that don't depend on the machine.

use cranberrypitch_measure::capacity::{self, CapacityRow};
use cranberrypitch_measure::forward;

/// The payload of a tunnel datagram that stays within 1,200 bytes.
const MAX_PAYLOAD_BYTES: f64 = 1168.0;

fn rows(section: &str) -> Vec<CapacityRow> {
    let mut sections = capacity::measure(Some(section)).expect("the section exists");
    sections.pop().expect("one section was measured").rows
}

/// Guards against control messages that outgrow a datagram or the budget for reports.
#[test]
fn reports_and_answers_stay_small() {
    let rows = rows("messages");
    let largest = |quantity| {
        let sizes = rows.iter().filter(|row| row.quantity == quantity);
        sizes.map(|row| row.value).fold(0.0, f64::max)
    };
    assert!(largest("report") <= 64.0);
    assert!(largest("answer to a report") <= 48.0);
    assert!(largest("answer with hints") <= MAX_PAYLOAD_BYTES);
    assert!(largest("report with announcement") <= MAX_PAYLOAD_BYTES);
}

/// Guards against per-flow state for established flows: their packets are forwarded without a
/// placement, whatever the number of flows.
#[test]
fn established_flows_are_forwarded_without_placement() {
    let growth = forward::growth(&[1000, 5000]).expect("loopback sockets are free");
    for row in growth.rows {
        assert_eq!(row.placed, 0);
        assert!(row.forwarded * 10 >= u64::from(row.flows) * 9, "{row:?}");
    }
}
