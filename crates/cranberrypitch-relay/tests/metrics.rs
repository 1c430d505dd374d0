//! Guards against a page of metrics that differs from the metrics of the daemons.

use expect_test::expect_file;

#[test]
fn metrics_page_is_complete() {
    expect_file!["../../../docs/relay-metrics.md"].assert_eq(&cranberrypitch_relay::metrics_page());
}
