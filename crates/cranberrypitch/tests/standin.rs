//! Tests of the `standin` program.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn standin(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin"));
    command.args(arguments).output().expect("standin runs")
}

fn settings_file(name: &str, content: &str) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, content).expect("settings file");
    file
}

/// Guards against invalid arguments that are ignored or result in another exit code.
#[test]
fn wrong_arguments_end_with_exit_code_2() {
    let file = settings_file("arguments.json", "{}");
    let file = file.to_str().expect("path");
    let cases: [(&[&str], &str); 6] = [
        (&[], "no verb"),
        (&["cook"], "unknown verb 'cook'"),
        (&["fabric"], "--settings"),
        (&["fabric", "--settings"], "--settings"),
        (&["fabric", "--settings", "/absent.json"], "/absent.json"),
        (&["fabric", "--settings", file, "--fast"], "--fast"),
    ];
    for (arguments, expected) in cases {
        let output = standin(arguments);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {message}");
        assert!(message.contains(expected), "{arguments:?}: {message}");
    }
    assert_eq!(standin(&["--help"]).status.code(), Some(0));
}

/// Guards against invalid settings that are accepted, or whose message does not name the field.
#[test]
fn wrong_settings_end_with_exit_code_2() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let used = listener.local_addr().expect("address");
    let in_use = format!(r#"{{"seed":1,"address":"{used}"}}"#);
    let cases = [
        ("backend", r#"{"seed":1}"#, "address"),
        (
            "backend",
            r#"{"seed":1,"address":"127.0.0.1:0","slot":1}"#,
            "slot",
        ),
        (
            "backend",
            r#"{"seed":1,"address":"127.0.0.1:0","slots":0}"#,
            "slots",
        ),
        (
            "backend",
            r#"{"seed":1,"address":"127.0.0.1:0","faults":{"shed_rate":2.0}}"#,
            "shed_rate must be a share from 0 to 1",
        ),
        ("backend", &in_use, "can't listen on"),
        ("fabric", r#"{"seed":1,"services":[]}"#, "balancers"),
        (
            "fabric",
            r#"{"seed":1,"services":[],"balancers":[],"to_callers":{"loss":-1.0}}"#,
            "loss must be a share from 0 to 1",
        ),
    ];
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("wrong.json");
    for (verb, content, expected) in cases {
        fs::write(&file, content).expect("settings file");
        let output = standin(&[verb, "--settings", file.to_str().expect("path")]);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{content}: {message}");
        assert!(message.contains(expected), "{content}: {message}");
        assert!(message.contains("wrong.json"), "{content}: {message}");
    }
}

/// Guards against documented settings that are rejected, and listen addresses that are not printed.
#[test]
fn documented_settings_start_the_standins() {
    let page = include_str!("../../../docs/standins.md");
    let examples: Vec<_> = page.split("```json\n").skip(1).collect();
    for (verb, example) in ["fabric", "backend"].into_iter().zip(&examples) {
        let content = example.split("```").next().expect("end of the example");
        let file = settings_file(&format!("documented-{verb}.json"), content);
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
            .arg(verb)
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("standin starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        child.kill().expect("standin is running");
        child.wait().expect("standin ends");
        let mut message = String::new();
        let mut stderr = child.stderr.take().expect("stderr");
        stderr.read_to_string(&mut message).expect("stderr");
        assert!(line.contains("listens on 127.0.0.1:"), "{verb}: {message}");
    }
    assert_eq!(examples.len(), 2);
}
