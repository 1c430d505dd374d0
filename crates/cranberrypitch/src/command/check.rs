//! The verb `check`, which reports every error of a configuration text.

use pico_args::Arguments;
use serde::Serialize;

use super::errors::Result;
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Reports every error of a configuration text with its position.

Usage: cranberrypitch check FILE [--json]

Options:
  --json  prints one JSON object
  --help  prints this text

Exit codes:
  0  the text is valid
  2  invalid arguments, or the text breaks a rule
";

/// The JSON output.
#[derive(Serialize)]
struct CheckOutput {
    deployment: Box<str>,
    services: usize,
    failure_domains: usize,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let is_json = arguments.contains("--json");
    let file = arguments::file(&mut arguments)?;
    arguments::finish(arguments)?;
    let text = arguments::read_text(&file)?;
    let output = CheckOutput {
        deployment: text.deployment.name.as_str().into(),
        services: text.services.len(),
        failure_domains: text.deployment.failure_domains.len(),
    };
    if is_json {
        output::print_json(&output)?;
    } else {
        output::print(format_args!(
            "deployment {}: {} services in {} failure domains, no errors",
            output.deployment, output.services, output.failure_domains
        ))?;
    }
    Ok(CommandStatus::Done)
}
