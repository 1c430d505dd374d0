//! Reports every error of a configuration text.

use pico_args::Arguments;
use serde::Serialize;

use super::errors::Result;
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Reports every error of a configuration text, each with its place.

Usage: cranberrypitch check FILE [--json]

Options:
  --json  prints one JSON object
  --help  prints this text

Exit codes:
  0  the text keeps every rule
  2  bad arguments, or the text breaks a rule
";

#[derive(Serialize)]
struct Checked {
    deployment: Box<str>,
    services: usize,
    failure_domains: usize,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let json = arguments.contains("--json");
    let file = arguments::file(&mut arguments)?;
    arguments::finish(arguments)?;
    let text = arguments::read_text(&file)?;
    let checked = Checked {
        deployment: text.deployment.name.as_str().into(),
        services: text.services.len(),
        failure_domains: text.deployment.failure_domains.len(),
    };
    if json {
        output::print_json(&checked)?;
    } else {
        output::print(format_args!(
            "deployment {}: {} services in {} failure domains, no errors",
            checked.deployment, checked.services, checked.failure_domains
        ))?;
    }
    Ok(CommandStatus::Done)
}
