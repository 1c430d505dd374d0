//! Reads traces: a line that names the failure, then one JSON object a line with the time, the
//! event and what must hold after it.

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
    /// File and line, for messages.
    pub place: String,
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

/// Loads the traces of a module. One that is empty, goes back in time or states no outcome after
/// its last event is refused, as its replay would show nothing.
pub fn load<E: DeserializeOwned, X: DeserializeOwned>(module: &str) -> Vec<Trace<E, X>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces")
        .join(module);
    let mut paths: Vec<_> = fs::read_dir(&directory)
        .expect("a directory of traces")
        .map(|entry| entry.expect("a readable entry").path())
        .collect();
    paths.sort_unstable();
    assert!(!paths.is_empty(), "no traces of {module}");
    paths.iter().map(|path| read(path)).collect()
}

fn read<E: DeserializeOwned, X: DeserializeOwned>(path: &Path) -> Trace<E, X> {
    let text = fs::read_to_string(path).expect("a readable trace");
    let mut lines = text.lines().enumerate();
    let (_, title) = lines.next().expect("a first line");
    let title: Title = serde_json::from_str(title).expect("a first line with the failure");
    let mut steps: Vec<Step<E, X>> = Vec::new();
    for (index, line) in lines {
        let place = format!("{}:{}", path.display(), index + 1);
        let line: Line<E, X> =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{place}: {error}"));
        let at = Duration::from_millis(line.at_ms);
        assert!(
            steps.last().is_none_or(|s| s.at <= at),
            "{place}: time goes back"
        );
        steps.push(Step {
            place,
            at,
            event: line.event,
            expected: line.expect,
        });
    }
    let last = steps.last().expect("an event");
    assert!(last.expected.is_some(), "{}: no stated outcome", last.place);
    Trace {
        failure: title.failure,
        steps,
    }
}
