//! Keeps the page of metrics and the program the same.

use expect_test::expect_file;

#[test]
fn metrics_page_is_complete() {
    expect_file!["../../../docs/relay-metrics.md"].assert_eq(&cranberrypitch_relay::metrics_page());
}
