//! The story of one request or flow, from the logs of several daemons.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::{Map, Value};

/// Events that tell what a daemon believes rather than what it did with a flow.
const BELIEFS: [&str; 9] = [
    "TargetChanged",
    "TargetGone",
    "StoreLost",
    "StoreRegained",
    "ConfigurationInForce",
    "Started",
    "Stopped",
    "StopRequested",
    "Readiness",
];

/// Beliefs up to this many seconds before the first line of a flow belong to its story.
const BELIEF_SECONDS: f64 = 3.0;

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The file or daemon that the line comes from.
    pub source: Box<str>,
    /// The time as it is written.
    pub timestamp: Box<str>,
    fields: Map<String, Value>,
}

impl LogLine {
    fn read(source: &str, text: &str) -> Option<Self> {
        // The platform's tools put a prefix before the object.
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let timestamp = fields.get("timestamp")?.as_str()?.into();
        Some(Self {
            source: source.into(),
            timestamp,
            fields,
        })
    }

    /// Returns a field as text.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn event(&self) -> &str {
        self.field("event").unwrap_or_default()
    }

    fn seconds(&self) -> Option<f64> {
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

/// The story of a request or flow.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// The flows that were found.
    pub flows: BTreeSet<Box<str>>,
    /// The lines in order of time.
    pub lines: Vec<LogLine>,
    /// Lines that could not be read.
    pub unreadable_lines: usize,
    /// What the logs do not show.
    pub gaps: Vec<Box<str>>,
    /// The likely cause, from the last decisive line.
    pub likely_cause: Option<Box<str>>,
}

/// Logs whose lines are searched.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<LogLine>,
    unreadable_lines: usize,
}

impl Logs {
    /// Returns no logs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the log of a daemon. Lines that are cut off or foreign are counted and left out.
    pub fn add(&mut self, source: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::read(source, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable_lines += 1,
            }
        }
    }

    /// Tells the story of a request id, or of a caller's address and port.
    pub fn explain(&self, subject: &str) -> Explanation {
        let flows: BTreeSet<Box<str>> = self
            .lines
            .iter()
            .filter(|line| is_about(line, subject))
            .filter_map(|line| line.field("flow").map(Into::into))
            .collect();
        let of_flow = |line: &&LogLine| line.field("flow").is_some_and(|flow| flows.contains(flow));
        let own: Vec<&LogLine> = self.lines.iter().filter(of_flow).collect();
        let agents: BTreeSet<&str> = own.iter().filter_map(|line| line.field("agent")).collect();
        let times: Vec<f64> = own.iter().filter_map(|line| line.seconds()).collect();
        let first = times.iter().copied().reduce(f64::min);
        let last = times.iter().copied().reduce(f64::max);
        let is_near = |line: &&LogLine| {
            let (Some(at), Some(first), Some(last)) = (line.seconds(), first, last) else {
                return false;
            };
            let agent = line.field("agent");
            BELIEFS.contains(&line.event())
                && (first - BELIEF_SECONDS..=last + BELIEF_SECONDS).contains(&at)
                && agent.is_none_or(|agent| agents.contains(agent))
        };
        let beliefs = self.lines.iter().filter(is_near);
        let mut lines: Vec<LogLine> = own.iter().copied().chain(beliefs).cloned().collect();
        lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
        Explanation {
            gaps: gaps(&flows, &own),
            likely_cause: likely_cause(&own),
            flows,
            lines,
            unreadable_lines: self.unreadable_lines,
        }
    }
}

fn is_about(line: &LogLine, subject: &str) -> bool {
    let is_caller = |flow: &str| flow == subject || flow.split('>').next() == Some(subject);
    line.field("request_id") == Some(subject) || line.field("flow").is_some_and(is_caller)
}

fn gaps(flows: &BTreeSet<Box<str>>, own: &[&LogLine]) -> Vec<Box<str>> {
    let has = |event: &str| own.iter().any(|line| line.event() == event);
    let mut gaps: Vec<Box<str>> = Vec::new();
    if flows.is_empty() {
        gaps.push("no line names the request or flow: its packets may not have arrived".into());
    } else if !has("Placed") {
        gaps.push("no line of the balancer that opened the flow".into());
    }
    if has("Placed") && !has("RequestPassed") && !has("Reset") && !has("Refused") {
        gaps.push("no line of an agent: its log is not among the files, or no request came".into());
    }
    gaps
}

/// Returns the likely cause: the last line that decided against the caller.
fn likely_cause(own: &[&LogLine]) -> Option<Box<str>> {
    let mut lines = own.to_vec();
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
