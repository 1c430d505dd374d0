//! The check of a settings text against a table of fields.

use std::path::Path;

use serde_json::{Map, Value};

use crate::errors::{Error, Problem, ProblemKind, Problems, Result};
use crate::json;
use crate::settings::fields::{Field, Presence};

/// The fields of a settings text.
type Settings = Map<String, Value>;

/// A check of fields against each other, made when each is in its own range.
pub(super) type Rules = dyn Fn(&Settings) -> Option<(&'static str, ProblemKind)>;

pub(super) fn read_text(file: &Path) -> Result<String> {
    let text = std::fs::read_to_string(file);
    text.map_err(|e| Error::invalid_file(Problem::new(file, "", ProblemKind::unreadable(&e))))
}

/// Returns the settings as JSON with all defaults filled in.
pub(super) fn check_text(
    file: &Path,
    text: &str,
    fields: &[Field],
    rules: &Rules,
) -> Result<Value> {
    let refuse = |fault| Error::invalid_file(Problem::new(file, "", fault));
    let value = json::parse(text).map_err(|e| refuse(ProblemKind::not_json(&e)))?;
    let Value::Object(mut settings) = value else {
        return Err(refuse(ProblemKind::invalid_value(
            &"the text",
            "a JSON object",
        )));
    };
    let mut problems = unknown_fields(file, &settings, fields);
    for field in fields {
        let fault = check_field(&mut settings, field);
        problems.extend(fault.map(|fault| Problem::new(file, field.name, fault)));
    }
    Problems::check(problems)?;
    if let Some((field, fault)) = rules(&settings) {
        return Err(Error::invalid_file(Problem::new(file, field, fault)));
    }
    Ok(Value::Object(settings))
}

/// A lease that could lapse after one lost renewal would drop live balancers.
pub(super) fn balancer_rules(settings: &Settings) -> Option<(&'static str, ProblemKind)> {
    at_most_half(settings, "lease_renewal_ms", "lease_ms")
}

/// A connection that loses one keep-alive packet must not end.
pub(super) fn agent_rules(settings: &Settings) -> Option<(&'static str, ProblemKind)> {
    at_most_half(settings, "keep_alive_ms", "idle_timeout_ms")
}

fn at_most_half(
    settings: &Settings,
    field: &'static str,
    whole: &str,
) -> Option<(&'static str, ProblemKind)> {
    let milliseconds = |name: &str| settings.get(name).and_then(Value::as_u64).unwrap_or(0);
    let max = milliseconds(whole) / 2;
    let found = milliseconds(field);
    let expected = format!("at most half of {whole}, which is {max} milliseconds");
    (found > max).then(|| (field, ProblemKind::invalid_value(&found, expected)))
}

fn unknown_fields(file: &Path, settings: &Settings, fields: &[Field]) -> Vec<Problem> {
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    let unknown = settings.keys().filter(|key| !names.contains(&key.as_str()));
    let problem = |key: &String| {
        let known = names.join(", ").into();
        Problem::new(file, key, ProblemKind::UnknownField { known })
    };
    unknown.map(problem).collect()
}

fn check_field(settings: &mut Settings, field: &Field) -> Option<ProblemKind> {
    match (settings.get(field.name), field.presence) {
        (None | Some(Value::Null), Presence::Optional) => None,
        (Some(value), _) if field.kind.allows(value) => None,
        (Some(value), _) => Some(ProblemKind::invalid_value(value, field.kind.to_string())),
        (None, Presence::Required) => Some(ProblemKind::MissingField {
            expected: field.kind.to_string().into(),
        }),
        (None, Presence::Default(json)) => {
            let value = serde_json::from_str(json).expect("each default is JSON");
            settings.insert(field.name.into(), value);
            None
        }
    }
}
