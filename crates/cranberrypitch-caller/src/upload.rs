//! Uploads, whose SHA-256 the backend server confirms.

use std::time::Duration;

use cranberrypitch_core::{ByteSize, OrganisationId, Outcome, RequestClass, Reservation};
use cranberrypitch_proto::request::{CallerFrame, RequestHead};
use ring::digest::{SHA256, digest};
use serde::Deserialize;

use crate::attempts::NextStep;
use crate::client::{Caller, Response, ServiceEndpoint, read_response};
use crate::errors::{Error, Result};

/// The options of an upload.
#[derive(Clone, Debug)]
pub struct UploadOptions {
    /// The service that receives the upload.
    pub endpoint: ServiceEndpoint,
    /// The organisation of the caller.
    pub organisation: OrganisationId,
    /// The time within which the upload must start.
    pub deadline: Duration,
    /// Whether the upload is idempotent, so that it may be sent again if its outcome is unknown.
    pub is_repeatable: bool,
}

/// The result of an upload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UploadReport {
    /// The outcome.
    pub outcome: Outcome,
    /// The SHA-256 of the file in hexadecimal digits, which the backend server has confirmed if the
    /// outcome is `Done`.
    pub sha256: Box<str>,
    /// The number of attempts.
    pub attempts: u32,
}

/// The backend server's response to an upload.
#[derive(Debug, Deserialize)]
struct Receipt {
    sha256: Box<str>,
}

/// Uploads a file.
///
/// # Errors
///
/// Returns the error of the last attempt if that attempt failed before the file was sent, and an
/// error if the backend server received different bytes.
pub async fn upload(caller: &Caller, options: &UploadOptions, file: &[u8]) -> Result<UploadReport> {
    let sha256: Box<str> = hex(digest(&SHA256, file).as_ref()).into();
    let mut attempts = caller.attempts(options.is_repeatable, options.deadline);
    let mut redirect: Option<Reservation> = None;
    loop {
        let remaining = attempts.remaining();
        let result = attempt(caller, options, file, redirect.take(), remaining).await;
        let (next, outcome) = match result {
            Ok(response) => {
                if response.outcome == Outcome::Done {
                    check_receipt(&response.body, &sha256)?;
                }
                (
                    attempts.next_after(&response.outcome).await,
                    Ok(response.outcome),
                )
            }
            Err(AttemptError::NotSent(error)) => (attempts.next_after_unsent().await, Err(error)),
            Err(AttemptError::MayHaveRun) => {
                let outcome = Outcome::Unknown;
                (attempts.next_after(&outcome).await, Ok(outcome))
            }
        };
        match next {
            NextStep::Attempt(reservation) => redirect = reservation,
            NextStep::Finish => {
                let attempts = attempts.count();
                return Ok(UploadReport {
                    outcome: outcome?,
                    sha256,
                    attempts,
                });
            }
        }
    }
}

/// The error of an attempt without a response.
enum AttemptError {
    NotSent(Error),
    MayHaveRun,
}

async fn attempt(
    caller: &Caller,
    options: &UploadOptions,
    file: &[u8],
    redirect: Option<Reservation>,
    remaining: Duration,
) -> std::result::Result<Response, AttemptError> {
    let routing_token = redirect.map(|r| r.token);
    let connection = caller
        .connect(&options.endpoint, routing_token)
        .await
        .map_err(AttemptError::NotSent)?;
    let head = RequestHead {
        class: RequestClass::Upload,
        organisation: options.organisation.clone(),
        deadline: remaining,
        ticket: None,
        reservation_serial: redirect.map(|r| r.serial),
        resume_from: None,
        body_len: ByteSize::new(file.len() as u64),
    };
    let started = connection.open_stream(&CallerFrame::Request(head)).await;
    let (mut send, mut recv) = started.map_err(|_cut| AttemptError::MayHaveRun)?;
    // The response is read while the file is sent, since a refusal may arrive before its end.
    let write = async {
        if send.write_all(file).await.is_ok() {
            let _closed = send.finish();
        }
    };
    let (response, ()) = tokio::join!(read_response(&mut recv), write);
    connection.close();
    response.map_err(|_cut| AttemptError::MayHaveRun)
}

fn check_receipt(body: &[u8], sent: &str) -> Result<()> {
    let Ok(receipt) = serde_json::from_slice::<Receipt>(body) else {
        return Err(Error::unexpected_frame("upload"));
    };
    if *receipt.sha256 == *sent {
        Ok(())
    } else {
        Err(Error::HashMismatch {
            sent: sent.into(),
            received: receipt.sha256,
        })
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;

    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _infallible = write!(text, "{byte:02x}");
            text
        })
}
