//! Reads trace files. The first line describes the failure; each further line is a JSON object with
//! the time, an event and the expected state after it.

use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

pub struct Trace<E, X> {
    pub failure: String,
    pub steps: Vec<Step<E, X>>,
}

pub struct Step<E, X> {
    /// The file and line number, for messages.
    pub location: String,
    pub at: Duration,
    pub event: E,
    pub expected: Option<X>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Title {
    failure: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<E, X> {
    at_ms: u64,
    event: E,
    expect: Option<X>,
}

/// Loads the traces of a module. Panics on a trace that is empty, has decreasing times or contains no
/// expectation for its last event, as its replay would prove nothing.
pub fn load<E: DeserializeOwned, X: DeserializeOwned>(module: &str) -> Vec<Trace<E, X>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces")
        .join(module);
    let mut paths: Vec<_> = fs::read_dir(&directory)
        .expect("the directory of the traces exists")
        .map(|entry| entry.expect("the directory entry is readable").path())
        .collect();
    paths.sort_unstable();
    assert!(!paths.is_empty(), "no traces of {module}");
    paths.iter().map(|path| read(path)).collect()
}

fn read<E: DeserializeOwned, X: DeserializeOwned>(path: &Path) -> Trace<E, X> {
    let text = fs::read_to_string(path).expect("the trace is readable");
    let mut lines = text.lines().enumerate();
    let (_, title) = lines.next().expect("the trace has a first line");
    let title: Title = serde_json::from_str(title).expect("the first line contains the failure");
    let mut steps: Vec<Step<E, X>> = Vec::new();
    for (index, line) in lines {
        let location = format!("{}:{}", path.display(), index + 1);
        let line: Line<E, X> =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{location}: {error}"));
        let at = Duration::from_millis(line.at_ms);
        assert!(
            steps.last().is_none_or(|s| s.at <= at),
            "{location}: the time decreases"
        );
        steps.push(Step {
            location,
            at,
            event: line.event,
            expected: line.expect,
        });
    }
    let last = steps.last().expect("the trace has an event");
    assert!(
        last.expected.is_some(),
        "{}: no expectation after the last event",
        last.location
    );
    Trace {
        failure: title.failure,
        steps,
    }
}
