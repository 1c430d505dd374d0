//! Explains what happened to a request or flow from the logs of several daemons.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::{Map, Value};

/// Events about the state of a daemon, its targets or the store, which belong to no single flow.
const STATE_EVENTS: [&str; 10] = [
    "TargetChanged",
    "TargetReported",
    "TargetGone",
    "StoreLost",
    "StoreRegained",
    "ConfigurationInForce",
    "Started",
    "Stopped",
    "StopRequested",
    "Readiness",
];

/// State events up to this many seconds before the first or after the last line of a flow are part
/// of its explanation.
const STATE_EVENT_MARGIN_S: f64 = 3.0;

/// A parsed line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The name of the log that contains the line.
    pub source: Box<str>,
    /// The timestamp as it stands in the log.
    pub timestamp: Box<str>,
    fields: Map<String, Value>,
}

impl LogLine {
    fn parse(source: &str, text: &str) -> Option<Self> {
        // Log collectors may put a prefix before the JSON object.
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let timestamp = fields.get("timestamp")?.as_str()?.into();
        Some(Self {
            source: source.into(),
            timestamp,
            fields,
        })
    }

    /// Returns the value of a text field, or `None` if the field is missing or not a text.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn event(&self) -> &str {
        self.field("event").unwrap_or_default()
    }

    /// Returns the time of day in seconds.
    fn time_of_day_s(&self) -> Option<f64> {
        let (_, time) = self.timestamp.split_once('T')?;
        let mut parts = time.trim_end_matches('Z').split(':');
        let mut next = || parts.next()?.parse::<f64>().ok();
        Some(next()? * 3600.0 + next()? * 60.0 + next()?)
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.timestamp, self.source, self.event())?;
        let hidden = ["timestamp", "level", "event"];
        for (name, value) in self
            .fields
            .iter()
            .filter(|(n, _)| !hidden.contains(&n.as_str()))
        {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// The events of a request or flow, with a likely cause of its failure.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// The flows that match the subject.
    pub flows: BTreeSet<Box<str>>,
    /// The lines of these flows and the state events near them, in order of time.
    pub lines: Vec<LogLine>,
    /// The number of lines that could not be parsed, in all logs.
    pub unreadable_lines: usize,
    /// Descriptions of lines that the logs should have but lack.
    pub gaps: Vec<Box<str>>,
    /// The likely cause, from the last line about a failure; none without such a line.
    pub likely_cause: Option<Box<str>>,
}

/// A set of logs to search.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<LogLine>,
    unreadable_lines: usize,
}

impl Logs {
    /// Returns an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the log of a daemon under the name `source`. Lines that can't be parsed are counted and
    /// skipped.
    pub fn add(&mut self, source: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(source, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable_lines += 1,
            }
        }
    }

    /// Explains a request, given by its id, or a flow, given by its caller's address and port.
    pub fn explain(&self, subject: &str) -> Explanation {
        let flows: BTreeSet<Box<str>> = self
            .lines
            .iter()
            .filter(|line| matches_subject(line, subject))
            .filter_map(|line| line.field("flow").map(Into::into))
            .collect();
        let of_flow = |line: &&LogLine| line.field("flow").is_some_and(|flow| flows.contains(flow));
        let flow_lines: Vec<&LogLine> = self.lines.iter().filter(of_flow).collect();
        let agents: BTreeSet<&str> = flow_lines
            .iter()
            .filter_map(|line| line.field("agent"))
            .collect();
        let times: Vec<f64> = flow_lines
            .iter()
            .filter_map(|line| line.time_of_day_s())
            .collect();
        let first = times.iter().copied().reduce(f64::min);
        let last = times.iter().copied().reduce(f64::max);
        let is_near = |line: &&LogLine| {
            let (Some(at), Some(first), Some(last)) = (line.time_of_day_s(), first, last) else {
                return false;
            };
            let agent = line.field("agent");
            STATE_EVENTS.contains(&line.event())
                && (first - STATE_EVENT_MARGIN_S..=last + STATE_EVENT_MARGIN_S).contains(&at)
                && agent.is_none_or(|agent| agents.contains(agent))
        };
        let state_events = self.lines.iter().filter(is_near);
        let mut lines: Vec<LogLine> = flow_lines
            .iter()
            .copied()
            .chain(state_events)
            .cloned()
            .collect();
        lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
        Explanation {
            gaps: gaps(&flows, &flow_lines),
            likely_cause: likely_cause(&flow_lines),
            flows,
            lines,
            unreadable_lines: self.unreadable_lines,
        }
    }
}

fn matches_subject(line: &LogLine, subject: &str) -> bool {
    let is_caller = |flow: &str| flow == subject || flow.split('>').next() == Some(subject);
    line.field("request_id") == Some(subject) || line.field("flow").is_some_and(is_caller)
}

fn gaps(flows: &BTreeSet<Box<str>>, flow_lines: &[&LogLine]) -> Vec<Box<str>> {
    let has = |event: &str| flow_lines.iter().any(|line| line.event() == event);
    let mut gaps: Vec<Box<str>> = Vec::new();
    if flows.is_empty() {
        gaps.push("no line contains the request or flow: its packets may not have arrived".into());
    } else if !has("Placed") {
        gaps.push("no line of the balancer that opened the flow".into());
    }
    if has("Placed") && !has("RequestPassed") && !has("Reset") && !has("Refused") {
        gaps.push(
            "no line of an agent: its log is not among the files, or no request arrived".into(),
        );
    }
    gaps
}

/// Returns the likely cause: the last line about a reset, refusal, timeout or drop.
fn likely_cause(flow_lines: &[&LogLine]) -> Option<Box<str>> {
    let mut lines = flow_lines.to_vec();
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let line = lines.iter().rev().find(|line| {
        matches!(
            line.event(),
            "Reset" | "Refused" | "Unanswered" | "NotLocated" | "Dropped"
        )
    })?;
    let detail = line.field("cause").or_else(|| line.field("agent"));
    let detail = detail.map_or(String::new(), |detail| format!(": {detail}"));
    Some(format!("{}{detail}", line.event()).into())
}
