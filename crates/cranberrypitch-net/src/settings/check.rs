//! Validation of a settings text against a table of fields.

use std::path::Path;

use serde_json::{Map, Value};

use crate::errors::{Error, Problem, ProblemKind, Problems, Result};
use crate::json;
use crate::settings::fields::{Field, Presence};

/// The fields of a settings text.
type SettingsMap = Map<String, Value>;

/// A rule that relates fields to each other, checked after each field is in its own range.
pub(super) type CrossFieldRule = dyn Fn(&SettingsMap) -> Option<(&'static str, ProblemKind)>;

pub(super) fn read_text(file: &Path) -> Result<String> {
    let text = std::fs::read_to_string(file);
    text.map_err(|e| Error::invalid_file(Problem::new(file, "", ProblemKind::unreadable(&e))))
}

/// Returns the settings as JSON, with the defaults of missing fields filled in.
pub(super) fn check_text(
    file: &Path,
    text: &str,
    fields: &[Field],
    rule: &CrossFieldRule,
) -> Result<Value> {
    let refuse = |kind| Error::invalid_file(Problem::new(file, "", kind));
    let value = json::parse(text).map_err(|e| refuse(ProblemKind::not_json(&e)))?;
    let Value::Object(mut settings) = value else {
        return Err(refuse(ProblemKind::invalid_value(
            &"the text",
            "a JSON object",
        )));
    };
    let mut problems = unknown_fields(file, &settings, fields);
    for field in fields {
        let kind = check_field(&mut settings, field);
        problems.extend(kind.map(|kind| Problem::new(file, field.name, kind)));
    }
    Problems::check(problems)?;
    if let Some((field, kind)) = rule(&settings) {
        return Err(Error::invalid_file(Problem::new(file, field, kind)));
    }
    Ok(Value::Object(settings))
}

/// Requires two renewals within the time of a lease, so that one lost renewal does not remove a
/// live balancer from the list.
pub(super) fn check_lease_renewal(settings: &SettingsMap) -> Option<(&'static str, ProblemKind)> {
    at_most_half(settings, "lease_renewal_ms", "lease_ms")
}

/// Requires two keep-alive packets within the idle timeout, so that one lost packet does not end a
/// connection.
pub(super) fn check_keep_alive(settings: &SettingsMap) -> Option<(&'static str, ProblemKind)> {
    at_most_half(settings, "keep_alive_ms", "idle_timeout_ms")
}

fn at_most_half(
    settings: &SettingsMap,
    field: &'static str,
    whole: &str,
) -> Option<(&'static str, ProblemKind)> {
    let milliseconds = |name: &str| settings.get(name).and_then(Value::as_u64).unwrap_or(0);
    let max = milliseconds(whole) / 2;
    let found = milliseconds(field);
    let expected = format!("at most half of {whole}, which is {max} milliseconds");
    (found > max).then(|| (field, ProblemKind::invalid_value(&found, expected)))
}

fn unknown_fields(file: &Path, settings: &SettingsMap, fields: &[Field]) -> Vec<Problem> {
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    let unknown = settings.keys().filter(|key| !names.contains(&key.as_str()));
    let problem = |key: &String| {
        let known = names.join(", ").into();
        Problem::new(file, key, ProblemKind::UnknownField { known })
    };
    unknown.map(problem).collect()
}

fn check_field(settings: &mut SettingsMap, field: &Field) -> Option<ProblemKind> {
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
