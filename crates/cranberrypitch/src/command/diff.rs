//! Shows what a configuration text changes.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use cranberrypitch_core::config::{ConfigChange, diff};
use pico_args::Arguments;
use serde::Serialize;

use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Shows what leads from an older configuration to a newer text, one change per line.

Usage: cranberrypitch diff FILE --store ADDRESS [--json]
       cranberrypitch diff OLDER NEWER [--json]

Options:
  --store ADDRESS  compares with the configuration in force, read from the store at IP:PORT
  --json           prints one JSON object
  --help           prints this text

Exit codes:
  0  the difference was printed, also when there is none
  1  the store could not be read
  2  bad arguments, or a text breaks a rule
";

#[derive(Serialize)]
struct Difference {
    changes: Vec<String>,
}

/// What the text is compared with.
enum Older {
    Store(SocketAddrV4),
    File(PathBuf),
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let json = arguments.contains("--json");
    let store: Option<SocketAddrV4> = arguments::optional(&mut arguments, "--store")?;
    let first = arguments::file(&mut arguments)?;
    let second = arguments::optional_file(&mut arguments)?;
    arguments::finish(arguments)?;
    let (older, newer) = match (store, second) {
        (Some(store), None) => (Older::Store(store), first),
        (None, Some(second)) => (Older::File(first), second),
        _ => return Err(Error::usage("give either --store or two files")),
    };
    let newer = arguments::read_text(&newer)?;
    let changes = match older {
        Older::File(file) => diff(&arguments::read_text(&file)?, &newer),
        Older::Store(store) => {
            let operator = arguments::operator(store);
            arguments::block_on(async { Ok(operator.diff(&newer).await?) })?
        }
    };
    print(&changes, json)?;
    Ok(CommandStatus::Done)
}

fn print(changes: &[ConfigChange], json: bool) -> Result<()> {
    let changes: Vec<_> = changes.iter().map(ConfigChange::to_string).collect();
    if json {
        output::print_json(&Difference { changes })?;
    } else if changes.is_empty() {
        output::print("no changes")?;
    } else {
        output::print(changes.join("\n"))?;
    }
    Ok(())
}
