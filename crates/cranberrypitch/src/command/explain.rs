//! The verb `explain`, which shows the path of a request or flow from the logs of several daemons.

use std::ffi::OsString;
use std::path::PathBuf;

use cranberrypitch_relay::explain::Logs;
use pico_args::Arguments;

use super::errors::{Error, Result};
use super::{CommandStatus, output};

pub(super) const HELP: &str = "\
Shows the log lines of balancers and agents about a request or flow, in order of time.

Usage: cranberrypitch explain SUBJECT FILE...

SUBJECT is the id of a request, or the address and port of its caller. Unreadable lines are counted
and ignored.

Options:
  --help  prints this text

Exit codes:
  0  the log lines were printed
  1  no line mentions the subject
  2  invalid arguments, or a file can't be read
";

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let subject: String = arguments.free_from_str()?;
    let files = arguments.finish();
    if files.is_empty() {
        return Err(Error::Usage {
            rule: "a FILE is missing",
        });
    }
    let mut logs = Logs::new();
    for file in files {
        add_log_file(&mut logs, file)?;
    }
    let explanation = logs.explain(&subject);
    for line in &explanation.lines {
        output::print(line)?;
    }
    if explanation.unreadable_lines > 0 {
        output::print_progress(&format_args!(
            "{} lines can't be read",
            explanation.unreadable_lines
        ));
    }
    for gap in &explanation.gaps {
        output::print_progress(&format_args!("missing: {gap}"));
    }
    if let Some(cause) = &explanation.likely_cause {
        output::print(format_args!("cause: {cause}"))?;
    }
    Ok(if explanation.flows.is_empty() {
        CommandStatus::Failed
    } else {
        CommandStatus::Done
    })
}

fn add_log_file(logs: &mut Logs, file: OsString) -> Result<()> {
    let file = PathBuf::from(file);
    match std::fs::read(&file) {
        Ok(bytes) => {
            let source = file.file_stem().unwrap_or_default().to_string_lossy();
            logs.add(&source, &String::from_utf8_lossy(&bytes));
            Ok(())
        }
        Err(source) => Err(Error::File { file, source }),
    }
}
