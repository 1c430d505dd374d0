//! Guards against explanations that omit lines of a flow, or that fail on incomplete logs.

use cranberrypitch_relay::explain::Logs;

const BALANCER: &str = r#"
{"timestamp":"2026-06-21T05:08:20.008341Z","level":"INFO","event":"Placed","flow":"100.64.0.22:1025>198.18.0.1:8080","service":"m","agent":"10.1.0.21:8072","attempt":1,"version":"2"}
{"timestamp":"2026-06-21T05:08:20.5Z","level":"INFO","event":"Placed","flow":"100.64.0.9:1025>198.18.0.1:8080","service":"m","agent":"10.1.0.22:8072","attempt":1,"version":"2"}
{"timestamp":"2026-06-21T05:08:21.1Z","level":"WARN","event":"TargetGone","agent":"10.1.0.22:8072"}
{"timestamp":"2026-06-21T05:08:22.0Z","level":"WARN","event":"NotLocated","flow":"100.64.0.22:1025>198.18.0.1:8080","asked":2,"silent":1}
{"timestamp":"2026-06-21T05:08:22.1Z","level":"WARN","event":"Reset","flow":"100.64.0.22:1025>198.18.0.1:8080","cause":"flow unknown to target"}
{"timestamp":"2026-06-21T05:08:22.2Z","level":"WARN","event":"Res"#;

const AGENT: &str = r#"
prefix of a tool {"timestamp":"2026-06-21T05:08:20.1Z","level":"INFO","event":"RequestPassed","request_id":"abc","flow":"100.64.0.22:1025>198.18.0.1:8080","balancer":"10.1.0.1:7720","running":1}
{"timestamp":"2026-06-21T05:08:21.0Z","level":"INFO","event":"TargetChanged","agent":"10.1.0.21:8072","service":"m","incarnation":"1","state":"Draining"}
"#;

fn events(logs: &Logs, subject: &str) -> Vec<String> {
    let explanation = logs.explain(subject);
    let event =
        |line: &cranberrypitch_relay::explain::LogLine| line.field("event").map(str::to_owned);
    explanation.lines.iter().filter_map(event).collect()
}

#[test]
fn request_id_and_caller_give_the_same_explanation() {
    let mut logs = Logs::new();
    logs.add("front-1", BALANCER);
    logs.add("side-1", AGENT);
    let expected = [
        "Placed",
        "RequestPassed",
        "TargetChanged",
        "NotLocated",
        "Reset",
    ];
    assert_eq!(events(&logs, "abc"), expected);
    assert_eq!(events(&logs, "100.64.0.22:1025"), expected);
    let explanation = logs.explain("abc");
    assert_eq!(explanation.unreadable_lines, 1);
    assert_eq!(explanation.gaps, []);
    assert_eq!(
        explanation.likely_cause.as_deref(),
        Some("Reset: flow unknown to target")
    );
}

#[test]
fn gaps_are_reported() {
    let mut logs = Logs::new();
    logs.add("side-1", AGENT);
    assert_eq!(logs.explain("abc").gaps.len(), 1);
    assert_eq!(logs.explain("nobody").gaps.len(), 1);
    assert!(logs.explain("nobody").lines.is_empty());
}
