//! Loss detection of an upload whose packets are sprayed over the balancers.

use std::time::Duration;

use cranberrypitch_measure::upload::{Condition, End, Options, Thresholds, measure};

/// The share of packets that may count as lost without any being lost. A trial with the thresholds
/// in use had 0.14%, with the defaults of QUIC 13.3% (section 2.5 of the design).
const MAX_FALSE_LOSSES: f64 = 0.02;

/// Guards against loss detection that takes packets reordered by spraying for lost ones, which
/// slows an upload down many times over.
#[test]
fn a_sprayed_upload_with_jitter_has_few_false_losses() {
    let options = Options {
        len_bytes: 10_000_000,
        rounds: 1,
        limit: Duration::from_secs(20),
        conditions: vec![Condition::SPRAYED_JITTER],
        thresholds: vec![Thresholds::IN_USE],
    };
    let report = measure(&options, 1).expect("the deployment starts");
    let upload = &report.uploads[0];
    assert!(upload.lost_share() < MAX_FALSE_LOSSES, "{upload:?}");
    assert_eq!(upload.dropped_by_fabric, 0, "{upload:?}");
    assert_eq!(upload.end, End::Done, "{upload:?}");
}
