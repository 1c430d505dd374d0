//! Output of results on stdout and errors on stderr.

use std::fmt::Display;
use std::io::{self, Write};

use cranberrypitch_core::Outcome;
use serde::Serialize;

use super::CommandStatus;

/// Prints a result on stdout. A closed pipe is an error, because the result is then lost.
pub(super) fn print(result: impl Display) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{result}")?;
    stdout.flush()
}

/// Prints a result on stdout as one line of JSON.
pub(super) fn print_json(result: &impl Serialize) -> io::Result<()> {
    print(serde_json::to_string(result)?)
}

/// Prints an error on stderr, with the name of the command before each line.
pub(super) fn print_error(error: &impl Display) {
    let mut stderr = io::stderr().lock();
    for line in error.to_string().lines() {
        // Write errors of stderr can't be reported anywhere.
        drop(writeln!(stderr, "cranberrypitch: {line}"));
    }
}

/// Prints a line on stderr that is not a result, such as progress.
pub(super) fn print_progress(progress: &impl Display) {
    // Write errors of stderr can't be reported anywhere.
    drop(writeln!(io::stderr().lock(), "{progress}"));
}

/// Prints bytes unchanged on stdout, followed by a newline.
pub(super) fn print_bytes(bytes: &[u8]) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    stdout.write_all(bytes)?;
    stdout.write_all(b"\n")?;
    stdout.flush()
}

/// Prints the outcome of an unsuccessful request on stderr.
pub(super) fn print_failure(request: &str, outcome: &Outcome) {
    match (outcome_name(outcome), not_run_reason(outcome)) {
        ("done", _) => {}
        ("not_run", reason) => {
            let reason = reason.unwrap_or_else(|| "no reason given".into());
            print_error(&format_args!("the {request} was not run: {reason}"));
        }
        ("failed", _) => print_error(&format_args!("the {request} failed at the backend server")),
        _ => print_error(&format_args!(
            "the outcome of the {request} is unknown; it may have run"
        )),
    }
}

/// Returns the name of an outcome in JSON output.
pub(super) const fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::NotRun(_) | Outcome::Redirect(_) => "not_run",
        Outcome::Failed => "failed",
        _ => "unknown",
    }
}

/// Returns the reason why a request was not run.
pub(super) fn not_run_reason(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::NotRun(reason) => Some(reason.to_string()),
        Outcome::Redirect(_) => Some("redirected too often".into()),
        _ => None,
    }
}

/// Returns the command status of an outcome.
pub(super) const fn status_of(outcome: &Outcome) -> CommandStatus {
    match outcome {
        Outcome::Done => CommandStatus::Done,
        Outcome::NotRun(_) | Outcome::Redirect(_) | Outcome::Failed => CommandStatus::Failed,
        _ => CommandStatus::OutcomeUnknown,
    }
}
