//! Tests loss detection in an upload whose packets are sprayed over the balancers.

use std::time::Duration;

use cranberrypitch_measure::upload::{Condition, Options, Thresholds, UploadResult, measure};

/// The maximum fraction of packets that are declared lost although none is. The thresholds in use give
/// 0.14%, the defaults of QUIC 13.3% (section 2.5 of the design).
const MAX_SPURIOUS_LOSS_FRACTION: f64 = 0.02;

/// Guards against loss detection that declares packets lost which spraying has only reordered: each
/// spurious loss reduces the congestion window and slows the upload down.
#[test]
fn a_sprayed_upload_with_jitter_has_few_spurious_losses() {
    let options = Options {
        len_bytes: 10_000_000,
        rounds: 1,
        timeout: Duration::from_secs(20),
        conditions: vec![Condition::SPRAYED_JITTER],
        thresholds: vec![Thresholds::PROJECT_DEFAULT],
    };
    let report = measure(&options, 1).expect("the deployment starts");
    let upload = &report.uploads[0];
    assert!(
        upload.lost_fraction() < MAX_SPURIOUS_LOSS_FRACTION,
        "{upload:?}"
    );
    assert_eq!(upload.dropped_by_fabric, 0, "{upload:?}");
    assert_eq!(upload.result, UploadResult::Done, "{upload:?}");
}
