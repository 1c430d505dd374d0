//! Results on stdout, errors on stderr.

use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;

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
