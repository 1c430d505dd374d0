//! The verb `apply`, which puts a configuration text in force.

use std::net::SocketAddrV4;

use cranberrypitch_core::config::ConfigChange;
use cranberrypitch_core::{EditId, Revision};
use cranberrypitch_net::config_editor::ApplyOutcome;
use pico_args::Arguments;
use serde::Serialize;

use super::errors::Result;
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Puts a configuration text in force if the edited revision is still in force. Otherwise it changes
nothing, and prints the difference to the configuration in force.

Usage: cranberrypitch apply FILE --revision N --store ADDRESS [--json]

Options:
  --revision N     the revision that was edited, see 'status'; 0 before the first edit
  --store ADDRESS  the store, as IP:PORT
  --json           prints one JSON object
  --help           prints this text

Exit codes:
  0  accepted
  1  not accepted, and nothing changed
  2  invalid arguments, or the text breaks a rule
  3  outcome unknown: the edit may be in force or take effect later, 'status' then shows its id
";

/// The JSON output.
#[derive(Default, Serialize)]
struct ApplyOutput {
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
    let is_json = arguments.contains("--json");
    let edited_revision: Revision = arguments::value(&mut arguments, "--revision")?;
    let store: SocketAddrV4 = arguments::value(&mut arguments, "--store")?;
    let file = arguments::file(&mut arguments)?;
    arguments::finish(arguments)?;
    let text = arguments::read_text(&file)?;
    let edit_id = EditId::new(rand::random());
    let editor = arguments::config_editor(store);
    let outcome =
        arguments::block_on(async { Ok(editor.apply(&text, edited_revision, edit_id).await) })?;
    if is_json {
        output::print_json(&to_output(&outcome, edit_id))?;
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
            output::print_error(&format_args!(
                "not accepted, and nothing changed: {outcome}"
            ));
            if let Some(changes) = changes {
                output::print("changes from the configuration in force to this text:")?;
                changes.iter().try_for_each(output::print)?;
            }
        }
        _ => output::print_error(outcome),
    }
    Ok(())
}

fn to_output(outcome: &ApplyOutcome, edit_id: EditId) -> ApplyOutput {
    let output = ApplyOutput {
        edit_id: edit_id.to_string().into(),
        ..ApplyOutput::default()
    };
    match outcome {
        ApplyOutcome::Accepted { revision, .. } => ApplyOutput {
            outcome: "accepted",
            revision: Some(*revision),
            ..output
        },
        ApplyOutcome::Conflict {
            current, changes, ..
        } => ApplyOutput {
            outcome: "conflict",
            revision: Some(*current),
            changes: changes
                .as_ref()
                .map(|changes| changes.iter().map(ConfigChange::to_string).collect()),
            ..output
        },
        ApplyOutcome::NotAccepted(error) => ApplyOutput {
            outcome: "not_accepted",
            detail: Some(error.to_string().into()),
            ..output
        },
        ApplyOutcome::Unknown { error, .. } => ApplyOutput {
            outcome: "unknown",
            detail: Some(error.to_string().into()),
            ..output
        },
    }
}
