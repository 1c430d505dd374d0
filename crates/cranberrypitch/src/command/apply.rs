//! Puts a configuration text in force.

use std::net::SocketAddrV4;

use cranberrypitch_core::config::ConfigChange;
use cranberrypitch_core::{EditId, Revision};
use cranberrypitch_net::operator::ApplyOutcome;
use pico_args::Arguments;
use serde::Serialize;

use super::errors::Result;
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Puts a configuration text in force, if the edited revision is still in force. Otherwise nothing
changes, and the difference to the configuration in force is printed.

Usage: cranberrypitch apply FILE --revision N --store ADDRESS [--json]

Options:
  --revision N     the revision that was edited, see 'status'; 0 before the first edit
  --store ADDRESS  the store, as IP:PORT
  --json           prints one JSON object
  --help           prints this text

Exit codes:
  0  accepted
  1  not accepted, and nothing changed
  2  bad arguments, or the text breaks a rule
  3  outcome unknown: the edit may be in force or come into force; 'status' names its id if it is
";

#[derive(Default, Serialize)]
struct Applied {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    edit_id: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<Vec<String>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<Box<str>>,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let json = arguments.contains("--json");
    let edited: Revision = arguments::value(&mut arguments, "--revision")?;
    let store: SocketAddrV4 = arguments::value(&mut arguments, "--store")?;
    let file = arguments::file(&mut arguments)?;
    arguments::finish(arguments)?;
    let text = arguments::read_text(&file)?;
    let edit_id = EditId::new(rand::random());
    let operator = arguments::operator(store);
    let outcome = arguments::block_on(async { Ok(operator.apply(&text, edited, edit_id).await) })?;
    if json {
        output::print_json(&describe(&outcome, edit_id))?;
    } else {
        print(&outcome)?;
    }
    Ok(status_of(&outcome))
}

const fn status_of(outcome: &ApplyOutcome) -> CommandStatus {
    match outcome {
        ApplyOutcome::Accepted { .. } => CommandStatus::Done,
        ApplyOutcome::Conflict { .. } | ApplyOutcome::NotAccepted(_) => CommandStatus::Failed,
        ApplyOutcome::Unknown { .. } => CommandStatus::OutcomeUnknown,
    }
}

fn print(outcome: &ApplyOutcome) -> Result<()> {
    match outcome {
        ApplyOutcome::Accepted { .. } => output::print(outcome)?,
        ApplyOutcome::Conflict { changes, .. } => {
            output::error(&format_args!(
                "not accepted, and nothing changed: {outcome}"
            ));
            if let Some(changes) = changes {
                output::print("changes from the configuration in force to this text:")?;
                changes.iter().try_for_each(output::print)?;
            }
        }
        _ => output::error(outcome),
    }
    Ok(())
}

fn describe(outcome: &ApplyOutcome, edit_id: EditId) -> Applied {
    let applied = Applied {
        edit_id: edit_id.to_string().into(),
        ..Applied::default()
    };
    match outcome {
        ApplyOutcome::Accepted { revision, .. } => Applied {
            outcome: "accepted",
            revision: Some(*revision),
            ..applied
        },
        ApplyOutcome::Conflict {
            current, changes, ..
        } => Applied {
            outcome: "conflict",
            revision: Some(*current),
            changes: changes
                .as_ref()
                .map(|changes| changes.iter().map(ConfigChange::to_string).collect()),
            ..applied
        },
        ApplyOutcome::NotAccepted(error) => Applied {
            outcome: "not_accepted",
            detail: Some(error.to_string().into()),
            ..applied
        },
        ApplyOutcome::Unknown { error, .. } => Applied {
            outcome: "unknown",
            detail: Some(error.to_string().into()),
            ..applied
        },
    }
}
