//! Key files: validation, key derivation and reload.

use cranberrypitch_core::KeyGeneration;
use cranberrypitch_net::KeyRing;
use cranberrypitch_net::errors::ControlErrorKind;
use proptest::prelude::*;
use proptest::sample::Index;
use serde_json::json;

fn hex(byte: u8) -> String {
    format!("{byte:02x}").repeat(32)
}

fn key_file(current: u8, keys: &[(u8, u8)]) -> String {
    let key = |(generation, byte): &(u8, u8)| json!({ "generation": generation, "secret_hex": hex(*byte) });
    let keys: Vec<_> = keys.iter().map(key).collect();
    json!({ "current": current, "keys": keys }).to_string()
}

/// Guards against an invalid key file that is accepted, and an error that does not name the field or
/// shows a secret.
#[test]
fn refused_key_files_name_the_field() {
    let good = hex(7);
    let cases = [
        ("{", ": is not JSON: line 1 column 1"),
        ("[]", ": the text is not allowed; expected a JSON object"),
        ("{}", "keys: missing field"),
        (
            r#"{"current": 1, "keys": []}"#,
            "keys: the value is not allowed",
        ),
        (
            r#"{"current": 1, "keys": [1]}"#,
            "keys[0]: the value is not allowed",
        ),
        (
            r#"{"current": 1, "keys": [{}, {}, {}]}"#,
            "keys: a list of 3 is not allowed",
        ),
        (
            r#"{"current": 1, "keys": [{"secret_hex": "GOOD"}]}"#,
            "keys[0].generation: missing",
        ),
        (
            r#"{"current": 1, "keys": [{"generation": 1}]}"#,
            "keys[0].secret_hex: missing",
        ),
        (
            r#"{"current": 16, "keys": [{"generation": 16, "secret_hex": "GOOD"}]}"#,
            "keys[0].generation: 16 is not allowed; expected a whole number from 0 to 15",
        ),
        (
            r#"{"current": 1, "keys": [{"generation": 1, "secret_hex": "abcd"}]}"#,
            "keys[0].secret_hex: the value is not allowed; expected 64 hexadecimal digits",
        ),
        (
            r#"{"current": 2, "keys": [{"generation": 1, "secret_hex": "GOOD"}]}"#,
            "current: 2 is not allowed; expected the generation of one of the keys",
        ),
        (
            r#"{"current": 1, "extra": 1, "keys": [{"generation": 1, "secret_hex": "GOOD"}]}"#,
            "extra: unknown field; known are current, keys",
        ),
        (
            r#"{"current": 1, "current": 1, "keys": [{"generation": 1, "secret_hex": "GOOD"}]}"#,
            ": is not JSON: line 1",
        ),
        (
            r#"{"current": 1, "keys": [{"generation": 1, "secret_hex": "GOOD", "x": 0}]}"#,
            "keys[0].x: unknown field",
        ),
        (
            r#"{"current": 1, "keys": [{"generation": 1, "secret_hex": "GOOD"},
                {"generation": 1, "secret_hex": "GOOD"}]}"#,
            "keys[1].generation: 1 is not allowed",
        ),
    ];
    for (text, expected) in cases {
        let text = text.replace("GOOD", &good);
        let error = KeyRing::parse("keys.json".as_ref(), &text).expect_err(&text);
        let message = error.to_string();
        assert!(message.contains(expected), "{text}: {message}");
        assert!(message.contains("keys.json: "), "{message}");
        assert!(
            !message.contains(&good),
            "the message shows a secret: {message}"
        );
    }
}

/// Guards against a missing file that is treated like an empty one.
#[test]
fn missing_key_file_is_refused() {
    let error = KeyRing::load("/nonexistent/keys.json".as_ref()).expect_err("no such file");
    assert!(
        error
            .to_string()
            .contains("/nonexistent/keys.json: can't be read"),
        "{error}"
    );
}

/// Guards against one key with two purposes, and against a key derivation that changes between
/// versions, which would break flows during an upgrade.
#[test]
fn derived_keys_differ_and_are_stable() {
    let ring = KeyRing::from_secret(KeyGeneration::new(3), &[9; 32]);
    let token = ring.token_keys().current().check_value(b"content");
    let tunnel = ring.tunnel_keys().current().check_value(b"content");
    assert_ne!(token, tunnel);
    let text = format!("{token:016x} {tunnel:016x}");
    expect_test::expect!["65355ee84f52adb2 d1b8ffcfd50d886c"].assert_eq(&text);
}

/// Guards against a key rotation that drops the older generation or signs with the wrong one.
#[test]
fn the_current_generation_signs_and_both_verify() {
    for (current, other) in [(3, 4), (4, 3)] {
        let ring = KeyRing::parse("keys.json".as_ref(), &key_file(current, &[(3, 1), (4, 2)]));
        let ring = ring.expect("the text is valid");
        let keys = ring.keys();
        assert_eq!(keys.token().current().generation().get(), current);
        assert_eq!(keys.control().generation().get(), current);
        let other = KeyGeneration::new(other);
        assert_eq!(
            keys.token()
                .by_generation(other)
                .expect("both verify")
                .generation(),
            other
        );
        let tag = keys
            .control()
            .sign(other, b"content")
            .expect("both are held");
        keys.control()
            .verify(other, b"content", &tag)
            .expect("both verify");
        let error = keys.control().verify(other, b"other content", &tag);
        assert!(
            matches!(error, Err(ControlErrorKind::WrongKey { .. })),
            "{error:?}"
        );
        let unknown = keys.control().sign(KeyGeneration::new(9), b"content");
        assert!(
            matches!(unknown, Err(ControlErrorKind::NoSharedKey)),
            "{unknown:?}"
        );
    }
}

/// Guards against an invalid file at a reload that leaves a daemon without keys.
#[test]
fn a_refused_reload_leaves_the_keys_in_force() {
    let file = std::env::temp_dir().join(format!("cranberrypitch-{}-keys", std::process::id()));
    let write = |text: &str| std::fs::write(&file, text).expect("the file is written");
    write(&key_file(1, &[(1, 1)]));
    let ring = KeyRing::load(&file).expect("the file is valid");
    let before = ring.token_keys();
    write("{}");
    ring.reload().expect_err("the file is refused");
    assert_eq!(ring.token_keys(), before);
    write(&key_file(2, &[(2, 2)]));
    ring.reload().expect("the file is valid");
    assert_eq!(ring.token_keys().current().generation().get(), 2);
    std::fs::remove_file(&file).expect("the file is removed");
}

proptest! {
    /// Guards against a key file that causes a panic, or an error that shows a secret.
    #[test]
    fn any_key_file_is_accepted_or_refused(place in any::<Index>(), text in ".{0,8}") {
        let good = key_file(3, &[(3, 1), (4, 2)]);
        let mut changed: Vec<char> = good.chars().collect();
        let place = place.index(changed.len());
        changed.splice(place..=place, text.chars());
        let changed: String = changed.into_iter().collect();
        for text in [text, changed] {
            if let Err(error) = KeyRing::parse("keys.json".as_ref(), &text) {
                prop_assert!(!error.to_string().contains("01010101"), "{}", error);
            }
        }
    }
}
