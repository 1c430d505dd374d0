//! Settings files: defaults, ranges, and errors that name file, field and allowed values.

use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::time::Duration;

use cranberrypitch_net::settings::{AGENT_FIELDS, BALANCER_FIELDS, Field, Presence};
use cranberrypitch_net::{AgentSettings, BalancerSettings, Error};
use expect_test::expect;
use proptest::prelude::*;
use serde_json::{Map, Value, json};

const FILE: &str = "test.json";

fn balancer() -> Value {
    json!({
        "vm": "vm-1", "failure_domain": "rs-norte", "region": "riogrande",
        "control_address": "127.0.0.1:4000", "tunnel_address": "127.0.0.1:4001",
        "store_address": "127.0.0.1:4002", "key_file": "keys.json",
    })
}

fn agent() -> Value {
    json!({
        "vm": "vm-1", "failure_domain": "rs-norte", "region": "riogrande", "service": "matcher",
        "tunnel_address": "127.0.0.1:4001", "store_address": "127.0.0.1:4002",
        "backend_address": "127.0.0.1:8080", "key_file": "keys.json",
        "certificate_file": "agent.pem", "certificate_key_file": "agent.key",
    })
}

fn with(mut settings: Value, field: &str, value: Value) -> Value {
    settings[field] = value;
    settings
}

fn refuse_balancer(settings: &Value) -> String {
    let parsed = BalancerSettings::parse(Path::new(FILE), &settings.to_string());
    parsed.expect_err("the settings are refused").to_string()
}

/// Guards against a default that differs from the documented one.
#[test]
fn defaults_fill_in_what_is_left_out() {
    let settings = BalancerSettings::parse(Path::new(FILE), &balancer().to_string());
    let settings = settings.expect("the settings are valid");
    assert_eq!(settings.linger_ms, Duration::from_secs(2));
    assert_eq!(settings.log, log::LevelFilter::Info);
    assert_eq!(settings.service_ip, None);
    let settings = AgentSettings::parse(Path::new(FILE), &agent().to_string());
    let settings = settings.expect("the settings are valid");
    assert_eq!(settings.drain_deadline_ms, Duration::from_mins(1));
    assert_eq!(settings.metrics_address, None);
}

/// Guards against settings that change when they are serialised and parsed again.
#[test]
fn settings_survive_a_round_trip() {
    let settings = BalancerSettings::parse(Path::new(FILE), &balancer().to_string());
    let settings = settings.expect("the settings are valid");
    let text = serde_json::to_string(&settings).expect("settings serialize");
    let again = BalancerSettings::parse(Path::new(FILE), &text).expect("the text is valid");
    assert_eq!(again, settings);
}

/// Guards against an out-of-range value that is accepted.
#[test]
fn values_out_of_range_are_refused() {
    let cases = [
        ("vm", json!("")),
        ("vm", json!("a b")),
        ("region", json!("x".repeat(64))),
        ("control_address", json!("127.0.0.1")),
        ("control_address", json!("127.0.0.1:0")),
        ("control_address", json!("0.0.0.0:80")),
        ("control_address", json!("[::1]:80")),
        ("control_address", json!("example:80")),
        ("seed_balancers", json!("127.0.0.1:1")),
        ("seed_balancers", json!(["127.0.0.1"])),
        ("seed_balancers", json!(vec!["127.0.0.1:1"; 65])),
        ("service_ip", json!("::1")),
        ("key_file", json!("")),
        ("linger_ms", json!(99)),
        ("linger_ms", json!(60_001)),
        ("linger_ms", json!(-1)),
        ("linger_ms", json!(200.5)),
        ("linger_ms", json!("200")),
        ("linger_ms", json!(null)),
        ("log", json!("loud")),
        ("lease_renewal_ms", json!(5_001)),
    ];
    for (field, value) in cases {
        let message = refuse_balancer(&with(balancer(), field, value.clone()));
        let start = format!("{FILE}: {field}: ");
        assert!(message.starts_with(&start), "{field} {value}: {message}");
        assert!(message.contains("is not allowed; expected "), "{message}");
    }
}

/// Guards against a range that excludes its bounds.
#[test]
fn the_bounds_of_a_range_are_allowed() {
    for linger_ms in [100, 60_000] {
        let settings = with(balancer(), "linger_ms", json!(linger_ms));
        let parsed = BalancerSettings::parse(Path::new(FILE), &settings.to_string());
        assert_eq!(
            parsed.expect("allowed").linger_ms,
            Duration::from_millis(linger_ms)
        );
    }
}

/// Guards against a missing required field that is not reported.
#[test]
fn each_missing_field_is_named() {
    let check = |fields: &[Field], parse: &dyn Fn(&str) -> Option<Error>| {
        let message = parse("{}").expect("no field is given").to_string();
        for field in fields {
            let line = format!(
                "{FILE}: {}: missing field; expected {}",
                field.name, field.kind
            );
            let required = field.presence == Presence::Required;
            assert_eq!(
                message.lines().any(|found| found == line),
                required,
                "{line}"
            );
        }
    };
    check(BALANCER_FIELDS, &|text| {
        BalancerSettings::parse(Path::new(FILE), text).err()
    });
    check(AGENT_FIELDS, &|text| {
        AgentSettings::parse(Path::new(FILE), text).err()
    });
}

/// Guards against an error that reports only the first problem.
#[test]
fn several_problems_are_reported_together() {
    let mut settings = with(balancer(), "lingr_ms", json!(5));
    settings["linger_ms"] = json!(5);
    settings.as_object_mut().map(|fields| fields.remove("vm"));
    expect![[r"
        test.json: lingr_ms: unknown field; known are vm, failure_domain, region, control_address, tunnel_address, service_ip, store_address, seed_balancers, key_file, linger_ms, report_interval_ms, lease_ms, lease_renewal_ms, log, metrics_address
        test.json: vm: missing field; expected 1 to 63 letters, digits, '-', '_' or '.'
        test.json: linger_ms: 5 is not allowed; expected 100 to 60000 milliseconds"]].assert_eq(&refuse_balancer(&settings));
}

/// Guards against a text that is accepted although it is not a JSON object or repeats a field.
#[test]
fn other_texts_are_refused() {
    for text in ["", "{", "[]", "null", "{} {}", r#"{"vm": "a", "vm": "b"}"#] {
        let parsed = AgentSettings::parse(Path::new(FILE), text);
        let message = parsed.expect_err(text).to_string();
        assert!(message.starts_with("test.json: "), "{message}");
    }
    let missing = AgentSettings::read(Path::new("/nonexistent/agent.json"));
    let message = missing.expect_err("no such file").to_string();
    assert!(
        message.starts_with("/nonexistent/agent.json: can't be read"),
        "{message}"
    );
}

proptest! {
    /// Guards against a settings file that causes a panic, or passes the check against the table and
    /// then fails to deserialise.
    #[test]
    fn any_text_is_accepted_or_refused_by_the_table(
        text in ".{0,40}",
        field in 0..BALANCER_FIELDS.len(),
        number in any::<i64>(),
    ) {
        let field = BALANCER_FIELDS[field].name;
        let by_text = with(balancer(), field, json!(text)).to_string();
        let by_number = with(balancer(), field, json!(number)).to_string();
        drop(BalancerSettings::parse(Path::new(FILE), &text));
        for settings in [by_text, by_number] {
            if let Err(error) = BalancerSettings::parse(Path::new(FILE), &settings) {
                let message = error.to_string();
                prop_assert!(message.starts_with(&format!("{FILE}: {field}: ")), "{}", message);
            }
        }
    }
}

/// Guards against differences between the tables of fields and the settings types.
#[test]
fn tables_match_the_types() {
    let names = |value: Value| -> Vec<String> {
        let fields: Map<String, Value> = serde_json::from_value(value).expect("an object");
        fields.into_iter().map(|(name, _)| name).collect()
    };
    let table = |fields: &[Field]| -> Vec<String> {
        let mut names: Vec<_> = fields.iter().map(|field| field.name.to_owned()).collect();
        names.sort();
        names
    };
    let settings = BalancerSettings::parse(Path::new(FILE), &balancer().to_string());
    let value = serde_json::to_value(settings.expect("valid")).expect("settings serialize");
    assert_eq!(names(value), table(BALANCER_FIELDS));
    let settings = AgentSettings::parse(Path::new(FILE), &agent().to_string());
    let value = serde_json::to_value(settings.expect("valid")).expect("settings serialize");
    assert_eq!(names(value), table(AGENT_FIELDS));
}

/// Guards against addresses in use that are reported without their fields, or one at a time.
#[test]
fn addresses_in_use_are_reported_together() {
    let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let control = tcp.local_addr().expect("bound").to_string();
    let tunnel = udp.local_addr().expect("bound").to_string();
    let settings = with(balancer(), "control_address", json!(control));
    let settings = with(settings, "tunnel_address", json!(tunnel));
    let settings = BalancerSettings::parse(Path::new(FILE), &settings.to_string());
    let error = settings.expect("valid").check_addresses(Path::new(FILE));
    let message = error.expect_err("both are in use").to_string();
    let expected = "expected a free address of this machine";
    assert_eq!(
        message,
        format!(
            "test.json: control_address: address {control} is in use; {expected}\n\
             test.json: tunnel_address: address {tunnel} is in use; {expected}"
        )
    );
}

/// Guards against differences between the tables of fields and the page.
#[test]
fn the_page_lists_each_field() {
    let page = include_str!("../../../docs/settings.md");
    let section = |title: &str| {
        let (_, rest) = page.split_once(title).expect("the section exists");
        rest.split("\n## ").next().unwrap_or(rest).to_owned()
    };
    for (title, fields) in [
        ("\n## Balancer", BALANCER_FIELDS),
        ("\n## Agent", AGENT_FIELDS),
    ] {
        let section = section(title);
        let rows: Vec<_> = section
            .lines()
            .filter(|line| line.starts_with("| `"))
            .collect();
        assert_eq!(rows.len(), fields.len(), "{title}");
        for (found, field) in rows.iter().zip(fields) {
            assert!(
                found.starts_with(&row(field)),
                "{found} instead of {}",
                row(field)
            );
        }
    }
}

fn row(field: &Field) -> String {
    let default = match field.presence {
        Presence::Required => "required".to_owned(),
        Presence::Optional => "none".to_owned(),
        Presence::Default(json) => format!("`{json}`"),
    };
    format!("| `{}` | {} | {default} |", field.name, field.kind)
}
