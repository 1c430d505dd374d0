//! The verb `demo`.

use super::run;

/// G1 to G5: guards against a demo that needs files, or in which the changes under load break,
/// double, lose or misdeliver requests.
#[tokio::test]
async fn demo_is_clean_and_says_so() {
    let demo = run(&["demo", "--deployment", "buttons", "--seed", "5", "--json"]).await;
    let report = demo.json();
    for count in [
        "broken_flows",
        "doubled_orders",
        "lost_requests",
        "misdelivered",
    ] {
        assert_eq!(report[count], 0, "{demo:?}");
    }
    demo.assert_code(0);
    for service in ["verkstad", "tygbild"] {
        let done = &report["services"][service]["order"]["done"];
        assert!(done.as_u64() > Some(0), "{demo:?}");
    }
}
