//! The verb `diff`, which shows the changes between two configurations.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use cranberrypitch_core::config::{ConfigChange, diff};
use pico_args::Arguments;
use serde::Serialize;

use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Shows the changes from an older configuration to a newer text, one per line.

Usage: cranberrypitch diff FILE --store ADDRESS [--json]
       cranberrypitch diff OLDER NEWER [--json]

Options:
  --store ADDRESS  compares with the configuration in force, read from the store at IP:PORT
  --json           prints one JSON object
  --help           prints this text

Exit codes:
  0  the difference was printed, even if there is none
  1  the store could not be read
  2  invalid arguments, or a text breaks a rule
";

/// The JSON output.
#[derive(Serialize)]
struct DiffOutput {
    changes: Vec<String>,
}

/// The configuration with which the text is compared.
enum BaseConfig {
    Store(SocketAddrV4),
    File(PathBuf),
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let is_json = arguments.contains("--json");
    let store: Option<SocketAddrV4> = arguments::optional(&mut arguments, "--store")?;
    let first = arguments::file(&mut arguments)?;
    let second = arguments::optional_file(&mut arguments)?;
    arguments::finish(arguments)?;
    let (base, newer) = match (store, second) {
        (Some(store), None) => (BaseConfig::Store(store), first),
        (None, Some(second)) => (BaseConfig::File(first), second),
        _ => return Err(Error::usage("give either --store or two files")),
    };
    let newer = arguments::read_text(&newer)?;
    let changes = match base {
        BaseConfig::File(file) => diff(&arguments::read_text(&file)?, &newer),
        BaseConfig::Store(store) => {
            let editor = arguments::config_editor(store);
            arguments::block_on(async { Ok(editor.diff(&newer).await?) })?
        }
    };
    print(&changes, is_json)?;
    Ok(CommandStatus::Done)
}

fn print(changes: &[ConfigChange], is_json: bool) -> Result<()> {
    let changes: Vec<_> = changes.iter().map(ConfigChange::to_string).collect();
    if is_json {
        output::print_json(&DiffOutput { changes })?;
    } else if changes.is_empty() {
        output::print("no changes")?;
    } else {
        output::print(changes.join("\n"))?;
    }
    Ok(())
}
