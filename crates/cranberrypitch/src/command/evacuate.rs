//! The verb `evacuate`, which keeps new flows out of a failure domain.

use std::net::SocketAddrV4;

use cranberrypitch_core::FailureDomain;
use cranberrypitch_net::config_store;
use cranberrypitch_net::evacuation::{self, EvacuationOutcome};
use cranberrypitch_net::store::{HttpStore, HttpStoreOptions};
use pico_args::Arguments;
use serde::Serialize;

use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Evacuates a failure domain: balancers place no new flow on its targets. Open flows stay. A warning
is printed if the configuration in force does not list the failure domain.

Usage: cranberrypitch evacuate DOMAIN --store ADDRESS [--end] [--json]

Options:
  --store ADDRESS  the store, as IP:PORT
  --end            ends the evacuation
  --json           prints one JSON object
  --help           prints this text

Exit codes:
  0  done, or nothing to do
  1  not accepted, and nothing changed
  2  invalid arguments
  3  outcome unknown: the request may take effect later, 'status' shows the evacuations
";

/// The JSON output.
#[derive(Serialize)]
struct EvacuateOutput {
    outcome: &'static str,
    failure_domain: FailureDomain,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<Box<str>>,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let is_json = arguments.contains("--json");
    let is_end = arguments.contains("--end");
    let address: SocketAddrV4 = arguments::value(&mut arguments, "--store")?;
    let domain = failure_domain(&mut arguments)?;
    arguments::finish(arguments)?;
    let store = HttpStore::new(HttpStoreOptions::new(address));
    let outcome = arguments::block_on(async {
        if is_end {
            return Ok(evacuation::end(&store, &domain).await);
        }
        warn_if_unknown(&store, &domain).await;
        Ok(evacuation::begin(&store, &domain).await)
    })?;
    let status = status_of(&outcome);
    if is_json {
        output::print_json(&to_output(&outcome, domain))?;
    } else if status == CommandStatus::Done {
        output::print(format_args!("{domain}: {outcome}"))?;
    } else {
        output::print_error(&format_args!("{domain}: {outcome}"));
    }
    Ok(status)
}

fn failure_domain(arguments: &mut Arguments) -> Result<FailureDomain> {
    let name: Option<String> = arguments.opt_free_from_str()?;
    let name = name.ok_or(Error::usage("a DOMAIN is missing"))?;
    if name.starts_with('-') {
        return Err(Error::UnknownArgument {
            argument: name.into(),
        });
    }
    Ok(FailureDomain::try_new(&name)?)
}

/// Prints a warning unless the configuration in force lists the failure domain. The evacuation is written
/// in any case: VMs may run in a failure domain that the configuration does not list.
async fn warn_if_unknown(store: &HttpStore, domain: &FailureDomain) {
    let warning = match config_store::read_head(store).await {
        Ok(Some((head, _))) if head.deployment.failure_domains.contains(domain) => return,
        Ok(Some(_)) => "the configuration in force does not list this failure domain".into(),
        Ok(None) => "no configuration is in force that lists failure domains".into(),
        Err(error) => format!("the failure domain was not checked: {error}"),
    };
    output::print_error(&format_args!("warning: {domain}: {warning}"));
}

const fn status_of(outcome: &EvacuationOutcome) -> CommandStatus {
    match outcome {
        EvacuationOutcome::NotAccepted(_) => CommandStatus::Failed,
        EvacuationOutcome::Unknown(_) => CommandStatus::OutcomeUnknown,
        _ => CommandStatus::Done,
    }
}

fn to_output(outcome: &EvacuationOutcome, failure_domain: FailureDomain) -> EvacuateOutput {
    let (outcome, detail) = match outcome {
        EvacuationOutcome::Begun => ("evacuated", None),
        EvacuationOutcome::AlreadyBegun => ("already_evacuated", None),
        EvacuationOutcome::Ended => ("ended", None),
        EvacuationOutcome::NotBegun => ("not_evacuated", None),
        EvacuationOutcome::NotAccepted(error) => ("not_accepted", Some(error.to_string().into())),
        EvacuationOutcome::Unknown(error) => ("unknown", Some(error.to_string().into())),
    };
    EvacuateOutput {
        outcome,
        failure_domain,
        detail,
    }
}
