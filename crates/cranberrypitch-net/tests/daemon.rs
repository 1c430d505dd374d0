//! Startup, signals and exit codes of a daemon.

mod common;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use common::wait_for_line;
use cranberrypitch_core::ManualClock;
use cranberrypitch_net::daemon::{
    self, DaemonContext, ExitStatus, Signal, StopFlag, TrafficThreads,
};
use cranberrypitch_net::{AgentSettings, Error};
use serde_json::json;

/// The temporary directory of a test, which is removed at its end.
struct TestFiles(PathBuf);

impl TestFiles {
    fn new(name: &str) -> Self {
        common::record_log();
        let name = format!("cranberrypitch-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("the directory is made");
        let files = Self(directory);
        files.write_keys(3);
        let address = free_address();
        let settings = json!({
            "vm": "vm-1", "failure_domain": "mitt-a", "region": "sverige-mitt",
            "service": "verkstad", "tunnel_address": address, "store_address": "127.0.0.1:1",
            "backend_address": "127.0.0.1:1", "key_file": files.0.join("keys.json"),
            "certificate_file": "unused", "certificate_key_file": "unused",
        });
        files.write("settings.json", &settings.to_string());
        files
    }

    fn settings(&self) -> PathBuf {
        self.0.join("settings.json")
    }

    fn write_keys(&self, generation: u8) {
        let key = json!({ "generation": generation, "secret_hex": "07".repeat(32) });
        let keys = json!({ "current": generation, "keys": [key] });
        self.write("keys.json", &keys.to_string());
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("the file is written");
    }
}

impl Drop for TestFiles {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("the directory is removed");
    }
}

fn free_address() -> String {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("bound").to_string()
}

fn raise_signal(signal: &str) {
    let command = format!("kill -{signal} {}", std::process::id());
    let status = std::process::Command::new("sh")
        .args(["-c", &command])
        .status();
    assert!(status.expect("a shell").success());
}

/// Guards against a SIGTERM without a graceful shutdown, and a SIGHUP that stops the daemon, does not
/// reload the keys or drops the current keys when the file is invalid.
#[test]
fn signals_reload_keys_and_stop_gracefully() {
    let files = TestFiles::new("signals");
    let body = async |mut context: DaemonContext<AgentSettings>| {
        let keys = Arc::clone(&context.keys);
        let steps = async {
            files.write_keys(4);
            raise_signal("HUP");
            wait_for_line("CP0701", "keys reloaded, generation 4 signs").await;
            files.write("keys.json", "{}");
            raise_signal("HUP");
            wait_for_line("CP0702", "keys refused").await;
            raise_signal("TERM");
        };
        let stop = daemon::wait_for_stop(&mut context.signals, &keys);
        let (signal, ()) = tokio::join!(stop, steps);
        assert_eq!(signal, Signal::Terminate);
        assert_eq!(keys.keys().control().generation().get(), 4);
        Ok::<(), Error>(())
    };
    assert_eq!(daemon::run(&files.settings(), body), ExitStatus::Graceful);
    common::assert_logged("CP0101 agent started on vm-1");
    common::assert_logged("CP0102 graceful stop requested by SIGTERM");
    common::assert_logged("CP0103 agent stopped with exit code 0");
}

/// Guards against a daemon that starts with invalid settings, or ends with another exit code.
#[test]
fn refused_settings_end_with_code_2() {
    let files = TestFiles::new("refused");
    let run = |file: &Path| {
        daemon::run(
            file,
            async |_: DaemonContext<AgentSettings>| -> Result<(), Error> {
                panic!("the daemon starts")
            },
        )
    };
    assert_eq!(run(Path::new("/nonexistent/a.json")), ExitStatus::Refused);
    common::assert_logged("CP0201 settings refused: /nonexistent/a.json: can't be read");
    files.write("keys.json", r#"{"current": 99, "keys": []}"#);
    assert_eq!(run(&files.settings()), ExitStatus::Refused);
    common::assert_logged("keys.json: keys: the value is not allowed");
    common::assert_logged("keys.json: current: 99 is not allowed");
    common::assert_logged("CP0702 keys refused: ");
    let settings = std::fs::read_to_string(files.settings()).expect("written above");
    let settings: AgentSettings = AgentSettings::parse(Path::new("a"), &settings).expect("valid");
    let _in_use = std::net::UdpSocket::bind(settings.tunnel_address).expect("a free port");
    assert_eq!(run(&files.settings()), ExitStatus::Refused);
    common::assert_logged("settings.json: tunnel_address: address 127.0.0.1:");
    assert_eq!(ExitStatus::Refused.code(), 2);
}

/// Guards against a daemon that keeps running after a traffic thread has failed.
#[test]
fn a_failed_thread_ends_the_process_with_code_1() {
    type Body = fn(&StopFlag) -> Result<(), Error>;
    let cases: [(Body, &str); 3] = [
        (
            |_| Err(Error::thread("socket", &"broken")),
            "socket: broken",
        ),
        (|_| Ok(()), "ended by itself"),
        (|_| panic!("bug"), "panic: bug"),
    ];
    for (index, (thread_body, expected)) in cases.into_iter().enumerate() {
        let files = TestFiles::new(&format!("thread-{index}"));
        let body = async |_: DaemonContext<AgentSettings>| {
            let mut threads = TrafficThreads::new();
            threads.spawn("traffic", thread_body)?;
            Err::<(), Error>(threads.wait_for_failure().await)
        };
        assert_eq!(daemon::run(&files.settings(), body), ExitStatus::Failed);
        common::assert_logged(&format!("CP0106 thread traffic failed: {expected}"));
    }
    common::assert_logged("CP0104 agent failed: traffic: panic: bug");
    assert_eq!(ExitStatus::Failed.code(), 1);
}

/// Guards against a stop that leaves traffic threads running, or reports their end as a failure.
#[test]
fn threads_stop_on_request() {
    let mut threads = TrafficThreads::new();
    for _ in 0..2 {
        let body = |stop: &StopFlag| {
            while !stop.is_set() {
                std::thread::sleep(Duration::from_millis(1));
            }
            Ok::<(), Error>(())
        };
        threads.spawn("traffic", body).expect("a thread");
    }
    threads.stop().expect("both end without a failure");
}

/// Guards against a restart whose incarnation does not exceed that of the previous run.
#[test]
fn a_later_run_has_a_higher_incarnation() {
    let clock = ManualClock::new();
    let first = daemon::new_incarnation(&clock);
    clock.advance(Duration::from_micros(1));
    assert!(daemon::new_incarnation(&clock) > first);
}
