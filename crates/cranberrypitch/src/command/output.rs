//! Results on stdout, errors on stderr.

use std::fmt::Display;
use std::io::{self, Write};

use cranberrypitch_core::Outcome;
use serde::Serialize;

use super::CommandStatus;

/// Prints a result. A reader that has closed the pipe is a failure, as it has not got the result.
pub(super) fn print(result: impl Display) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{result}")?;
    stdout.flush()
}

/// Prints a result as one line of JSON.
pub(super) fn print_json(result: &impl Serialize) -> io::Result<()> {
    print(serde_json::to_string(result)?)
}

/// Prints an error, each of its lines with the name of the command.
pub(super) fn error(error: &impl Display) {
    let mut stderr = io::stderr().lock();
    for line in error.to_string().lines() {
        // Nobody is left to tell when stderr is closed.
        drop(writeln!(stderr, "cranberrypitch: {line}"));
    }
}

/// Prints progress, which is no result, on stderr.
pub(super) fn note(progress: &impl Display) {
    // Nobody is left to tell when stderr is closed.
    drop(writeln!(io::stderr().lock(), "{progress}"));
}

/// Prints bytes as they are, with a line end after them.
pub(super) fn print_bytes(bytes: &[u8]) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    stdout.write_all(bytes)?;
    stdout.write_all(b"\n")?;
    stdout.flush()
}

/// Prints on stderr how a request ended that was not done.
pub(super) fn show_failure(request: &str, outcome: &Outcome) {
    match (name_of(outcome), reason_of(outcome)) {
        ("done", _) => {}
        ("not_run", reason) => {
            let reason = reason.unwrap_or_else(|| "no reason given".into());
            error(&format_args!("the {request} was not run: {reason}"));
        }
        ("failed", _) => error(&format_args!("the {request} failed at the backend server")),
        _ => error(&format_args!(
            "it can't be told whether the {request} has run"
        )),
    }
}

/// Returns the name of an outcome in JSON.
pub(super) const fn name_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::NotRun(_) | Outcome::Redirect(_) => "not_run",
        Outcome::Failed => "failed",
        _ => "unknown",
    }
}

/// Returns why a request was not run.
pub(super) fn reason_of(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::NotRun(reason) => Some(reason.to_string()),
        Outcome::Redirect(_) => Some("redirected too often".into()),
        _ => None,
    }
}

/// Returns the exit code that stands for an outcome.
pub(super) const fn status_of(outcome: &Outcome) -> CommandStatus {
    match outcome {
        Outcome::Done => CommandStatus::Done,
        Outcome::NotRun(_) | Outcome::Redirect(_) | Outcome::Failed => CommandStatus::Failed,
        _ => CommandStatus::OutcomeUnknown,
    }
}
