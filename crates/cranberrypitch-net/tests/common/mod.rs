//! Recording of the log lines of a test process.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Mutex;
use std::time::Duration;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES
            .lock()
            .expect("no panic")
            .push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Installs a logger that records all log lines.
pub fn record_log() {
    // Only the first test of a process installs the logger.
    if log::set_logger(&Recorder).is_ok() {
        log::set_max_level(log::LevelFilter::Debug);
    }
}

/// Waits up to 5 s for a log line that starts with `start` and contains `part`.
pub async fn wait_for_line(start: &str, part: &str) {
    for _ in 0..1000 {
        if has_line(start, part) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no line {start} with {part} in {:?}", LINES.lock());
}

/// Panics unless a log line contains the text.
pub fn assert_logged(part: &str) {
    assert!(has_line("", part), "{part} not in {:?}", LINES.lock());
}

fn has_line(start: &str, part: &str) -> bool {
    let lines = LINES.lock().expect("no panic");
    lines
        .iter()
        .any(|line| line.starts_with(start) && line.contains(part))
}

/// Returns the number of log lines that start with `start`.
pub fn count_lines(start: &str) -> usize {
    let lines = LINES.lock().expect("no panic");
    lines.iter().filter(|line| line.starts_with(start)).count()
}
