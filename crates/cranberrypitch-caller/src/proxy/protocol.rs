//! The line protocol between plain TCP callers and the proxy.

use std::time::Duration;

use cranberrypitch_core::{OrganisationId, Outcome, RequestClass};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::errors::Error;
use crate::feed::Reading;

/// The maximum length of a request line.
pub(super) const MAX_LINE_BYTES: u64 = 4096;

/// The maximum deadline of a request: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// The first line of a request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestLine {
    pub(super) class: RequestClass,
    #[serde(rename = "tenant")]
    pub(super) organisation: Option<OrganisationId>,
    deadline_ms: Option<u64>,
    #[serde(default)]
    pub(super) body_len_bytes: u64,
    pub(super) resume_from: Option<u64>,
}

impl RequestLine {
    /// Parses a request line, and checks the rules that do not depend on the proxy's options.
    pub(super) fn parse(line: &[u8]) -> Result<Self, ProtocolError> {
        let parsed = serde_json::from_slice(line);
        let request: Self = parsed.map_err(|e| ProtocolError::malformed(&e))?;
        if request.class == RequestClass::Feed && request.body_len_bytes > 0 {
            return Err(ProtocolError::malformed(&"a feed takes no body"));
        }
        if request.class != RequestClass::Feed && request.resume_from.is_some() {
            return Err(ProtocolError::malformed(
                &"resume_from is only valid for feeds",
            ));
        }
        if !(1..=MAX_DEADLINE_MS).contains(&request.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS)) {
            return Err(ProtocolError::malformed(
                &"deadline_ms must be 1 to 86400000",
            ));
        }
        Ok(request)
    }

    pub(super) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS))
    }
}

/// The first line of a response, which is followed by a body of the stated length.
#[derive(Debug, Default, Serialize)]
pub(super) struct ResponseLine {
    pub(super) outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) ticket: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) sha256: Option<Box<str>>,
    pub(super) body_len_bytes: usize,
}

impl ResponseLine {
    pub(super) fn from_outcome(outcome: &Outcome) -> Self {
        let (outcome, reason) = match outcome {
            Outcome::Done => ("done", None),
            Outcome::NotRun(reason) => ("not_run", Some(reason.to_string())),
            Outcome::Redirect(_) => ("not_run", Some("redirected too often".into())),
            Outcome::Failed => ("failed", None),
            _ => ("unknown", None),
        };
        Self {
            outcome,
            reason,
            ..Self::default()
        }
    }

    /// Returns the response to a request that ended without an outcome from an agent.
    ///
    /// The caller's library reports a request that may have run by its outcome. An error means that
    /// the request was not sent, except for errors of a response that has arrived.
    pub(super) fn from_error(error: &Error) -> Self {
        let has_run = matches!(
            error,
            Error::HashMismatch { .. }
                | Error::UnexpectedFrame { .. }
                | Error::ResponseTooLong { .. }
        );
        Self {
            outcome: if has_run { "failed" } else { "not_run" },
            reason: Some(error.to_string()),
            ..Self::default()
        }
    }
}

/// A reading of a feed.
#[derive(Debug, Serialize)]
pub(super) struct ReadingLine<'a> {
    sequence: u64,
    payload: std::borrow::Cow<'a, str>,
}

impl<'a> ReadingLine<'a> {
    /// Returns the line of a reading. Agents only forward readings that are JSON, and thus text.
    pub(super) fn new(reading: &'a Reading) -> Self {
        Self {
            sequence: reading.sequence,
            payload: String::from_utf8_lossy(&reading.payload),
        }
    }
}

/// The last line of a complete feed.
#[derive(Debug, Serialize)]
pub(super) struct EndLine {
    pub(super) end: bool,
}

/// The reason why the proxy refuses a request or aborts a feed, after which it closes the
/// connection.
#[derive(Debug, Display)]
pub(super) enum ProtocolError {
    #[display("{detail}")]
    Malformed { detail: Box<str> },
    #[display("the line exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    #[display("the body exceeds {limit_bytes} bytes")]
    BodyTooLong { limit_bytes: u64 },
    #[display("timeout while waiting for {what}")]
    Timeout { what: &'static str },
    #[display("too many connections")]
    Busy,
    #[display("the proxy is shutting down")]
    Stopping,
    #[display("{_0}")]
    Feed(Error),
}

#[derive(Serialize)]
struct ErrorLine {
    error: &'static str,
    detail: String,
}

impl ProtocolError {
    pub(super) fn malformed(detail: &impl ToString) -> Self {
        Self::Malformed {
            detail: detail.to_string().into(),
        }
    }

    const fn code(&self) -> &'static str {
        match self {
            Self::Malformed { .. } => "malformed",
            Self::LineTooLong => "line_too_long",
            Self::BodyTooLong { .. } => "body_too_long",
            Self::Timeout { .. } => "timeout",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::Feed(_) => "feed",
        }
    }

    /// Returns the error line for the caller.
    pub(super) fn line(&self) -> Vec<u8> {
        json_line(&ErrorLine {
            error: self.code(),
            detail: self.to_string(),
        })
    }
}

/// Serialises a value as one line of JSON.
pub(super) fn json_line(content: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(content).unwrap_or_default();
    line.push(b'\n');
    line
}
