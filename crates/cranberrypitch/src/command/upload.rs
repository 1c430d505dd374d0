//! The verb `upload`, which uploads a file and prints its confirmed SHA-256.

use cranberrypitch_caller::{UploadOptions, UploadReport, upload};
use cranberrypitch_core::Outcome;
use pico_args::Arguments;
use serde::Serialize;

use super::arguments::EndpointArguments;
use super::errors::Result;
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Uploads a file and prints the SHA-256 that the backend server has confirmed.

Usage: cranberrypitch upload FILE ENDPOINT --tenant NAME [OPTIONS]

Endpoint:
  --service NAME     the service, whose name the certificate of its agents must contain
  --address IP:PORT  an address of the service
  --ca FILE          the certificate authority that callers trust (PEM)

Options:
  --tenant NAME    the organisation of the caller
  --deadline-ms N  the time within which the upload must start [default: 10000]
  --repeatable     sends the file again if the outcome of an attempt is unknown
  --json           prints one JSON object
  --help           prints this text

Exit codes:
  0  done
  1  failed, or not run, or the backend server has computed a different SHA-256
  2  invalid arguments or an invalid file
  3  outcome unknown
";

/// The JSON output.
#[derive(Serialize)]
struct UploadOutput<'a> {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sha256: Option<&'a str>,
    attempts: u32,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let is_json = arguments.contains("--json");
    let service = EndpointArguments::parse(&mut arguments)?;
    let options = UploadOptions {
        endpoint: service.endpoint.clone(),
        organisation: arguments::organisation(&mut arguments)?,
        deadline: arguments::deadline(&mut arguments)?,
        is_repeatable: arguments.contains("--repeatable"),
    };
    let file = arguments::file(&mut arguments)?;
    arguments::finish(arguments)?;
    let content = arguments::read(&file)?;
    let report = arguments::block_on(async {
        let caller = service.caller()?;
        let report = upload(&caller, &options, &content).await;
        caller.wait_idle().await;
        Ok(report?)
    })?;
    print(&report, is_json)?;
    Ok(output::status_of(&report.outcome))
}

fn print(report: &UploadReport, is_json: bool) -> Result<()> {
    let is_confirmed = report.outcome == Outcome::Done;
    if is_json {
        output::print_json(&UploadOutput {
            outcome: output::outcome_name(&report.outcome),
            reason: output::not_run_reason(&report.outcome),
            sha256: is_confirmed.then_some(&report.sha256),
            attempts: report.attempts,
        })?;
        return Ok(());
    }
    if is_confirmed {
        output::print(&report.sha256)?;
    }
    output::print_failure("upload", &report.outcome);
    Ok(())
}
