//! Numbered log events.
//!
//! Each event has a fixed number, a fixed level and a typed payload, and is written as one line
//! `CP0123 text`. The hundreds of a number stand for its area. `docs/log-events.md` lists all events.

mod catalogue;
mod limit;

use log::Level;

pub use crate::events::catalogue::{CATALOGUE, DropReason, Event, Program};
pub use crate::events::limit::{DropLog, RateLimit};

/// The target of all log records of the project; records of libraries are filtered out by it.
pub const LOG_TARGET: &str = "cranberrypitch";

/// The description of an event in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventEntry {
    /// The number, which is written with the prefix `CP`.
    pub number: u16,
    /// The log level.
    pub level: Level,
    /// The name of the variant of [`Event`].
    pub name: &'static str,
    /// The text, with the fields of the payload in braces.
    pub text: &'static str,
    /// The condition under which the event is logged.
    pub meaning: &'static str,
}

/// The areas of events, by the hundreds of their numbers.
pub const AREAS: [&str; 8] = [
    "process",
    "configuration",
    "membership",
    "forwarding",
    "admission and drain",
    "orders",
    "keys and TLS",
    "store",
];

impl Event {
    /// Writes the event to the log as one line.
    pub fn log(&self) {
        let level = self.level();
        if level <= log::max_level() {
            log::log!(target: LOG_TARGET, level, "{}", self.line());
        }
    }

    /// Returns the log line. Line breaks in the payload are replaced, so that a line of an error
    /// message can't be mistaken for another event.
    pub fn line(&self) -> String {
        let text = self.to_string();
        let lines: Vec<_> = text.lines().collect();
        format!("CP{:04} {}", self.number(), lines.join("; "))
    }
}

/// Returns the catalogue as the page `docs/log-events.md`.
pub fn catalogue_page() -> String {
    let mut page = String::from(PAGE_HEAD);
    for (area, title) in (1..).zip(AREAS) {
        page.push_str(&area_section(area, title));
    }
    page
}

const PAGE_HEAD: &str = "\
# Log events

Each line of the log is `TIME [LEVEL] CPNNNN TEXT`, on the standard error stream. Numbers keep their meaning between
versions. Names in braces stand for values. Events that callers or unauthenticated peers can cause are limited in rate
and give a count. The page is written by the test `catalogue_is_complete`
(`UPDATE_EXPECT=1 cargo test -p cranberrypitch-net --test events`).
";

fn area_section(area: u16, title: &str) -> String {
    let mut section = format!(
        "\n## {area}xx {title}\n\n| number | level | event | text | logged when |\n|---|---|---|---|---|\n"
    );
    for entry in CATALOGUE.iter().filter(|entry| entry.number / 100 == area) {
        let level = entry.level.as_str().to_lowercase();
        let EventEntry {
            number,
            name,
            text,
            meaning,
            ..
        } = entry;
        let row = format!("| CP{number:04} | {level} | `{name}` | `{text}` | {meaning} |\n");
        section.push_str(&row);
    }
    section
}
