//! Guards against valid settings that are refused, which would keep the daemons of a deployment from
//! starting, and against invalid settings that are accepted.

use std::time::Duration;

use cranberrypitch_relay::RelaySettings;

const SETTINGS: &str = r#"{
    "vm": "front-1", "failure_domain": "a", "datagram_address": "10.1.0.10:8172",
    "readiness_address": "10.1.0.10:8167", "peer_ports": [7720, 7735],
    "store_address": "10.200.1.7:8169", "snapshot_address": "10.1.0.10:8166",
    "seed_addresses": ["10.1.0.10:8166"], "lease_min_ms": 1000, "stop_grace_s": 6,
    "flow_lifetime_s": 60, "address_reuse_s": 2, "status_interval_ms": 770, "target": null
}"#;

#[test]
fn whole_numbers_are_accepted() {
    let settings = RelaySettings::parse(SETTINGS).unwrap();
    assert_eq!(settings.stop_grace_s, Duration::from_secs(6));
    assert_eq!(settings.status_interval_ms, Duration::from_millis(770));
}

/// The platform writes durations as whole numbers or fractions.
#[test]
fn fractions_are_accepted() {
    let text = SETTINGS
        .replace("\"stop_grace_s\": 6", "\"stop_grace_s\": 4.5")
        .replace("\"address_reuse_s\": 2", "\"address_reuse_s\": 1.25");
    let settings = RelaySettings::parse(&text).unwrap();
    assert_eq!(settings.stop_grace_s, Duration::from_millis(4500));
    assert_eq!(settings.address_reuse_s, Duration::from_millis(1250));
}

#[test]
fn invalid_settings_are_refused() {
    for (from, to) in [
        ("\"stop_grace_s\": 6", "\"stop_grace_s\": -6"),
        ("[7720, 7735]", "[7735, 7720]"),
        ("10.200.1.7:8169", "store"),
        ("\"vm\": \"front-1\",", ""),
    ] {
        assert!(
            RelaySettings::parse(&SETTINGS.replace(from, to)).is_err(),
            "{to}"
        );
    }
}
