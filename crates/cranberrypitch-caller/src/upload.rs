//! Uploads, checked by their hash at the far end.

use std::time::Duration;

use cranberrypitch_core::{ByteSize, OrganisationId, Outcome, RequestClass, Reservation};
use cranberrypitch_proto::request::{CallerFrame, RequestHead};
use ring::digest::{SHA256, digest};
use serde::Deserialize;

use crate::attempts::Next;
use crate::client::{Caller, Response, ServiceEndpoint, read_response};
use crate::errors::{Error, Result};

/// What a file is uploaded with.
#[derive(Clone, Debug)]
pub struct UploadOptions {
    /// The service.
    pub endpoint: ServiceEndpoint,
    /// The organisation that uploads.
    pub organisation: OrganisationId,
    /// The time within which the upload must start.
    pub deadline: Duration,
    /// Whether an upload that may have run may be sent again.
    pub is_repeatable: bool,
}

/// How an upload ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UploadReport {
    /// How it ended.
    pub outcome: Outcome,
    /// The SHA-256 of the file, which the far end has confirmed if the outcome is `Done`.
    pub sha256: Box<str>,
    /// Attempts that were made.
    pub attempts: u32,
}

/// The far end's answer to an upload.
#[derive(Debug, Deserialize)]
struct Receipt {
    sha256: Box<str>,
}

/// Uploads a file.
pub async fn upload(caller: &Caller, options: &UploadOptions, file: &[u8]) -> Result<UploadReport> {
    let sha256: Box<str> = hex(digest(&SHA256, file).as_ref()).into();
    let mut attempts = caller.attempts(options.is_repeatable, options.deadline);
    let mut redirect: Option<Reservation> = None;
    loop {
        let remaining = attempts.remaining();
        let tried = try_once(caller, options, file, redirect.take(), remaining).await;
        let (next, outcome) = match tried {
            Ok(response) => {
                if response.outcome == Outcome::Done {
                    check_receipt(&response.body, &sha256)?;
                }
                (
                    attempts.after(&response.outcome).await,
                    Ok(response.outcome),
                )
            }
            Err(Attempt::NotSent(error)) => (attempts.after_unsent().await, Err(error)),
            Err(Attempt::MayHaveRun) => {
                let outcome = Outcome::Unknown;
                (attempts.after(&outcome).await, Ok(outcome))
            }
        };
        match next {
            Next::Attempt(reservation) => redirect = reservation,
            Next::Finish => {
                let attempts = attempts.made();
                return Ok(UploadReport {
                    outcome: outcome?,
                    sha256,
                    attempts,
                });
            }
        }
    }
}

/// An attempt that got no answer.
enum Attempt {
    NotSent(Error),
    MayHaveRun,
}

async fn try_once(
    caller: &Caller,
    options: &UploadOptions,
    file: &[u8],
    redirect: Option<Reservation>,
    remaining: Duration,
) -> std::result::Result<Response, Attempt> {
    let routing_token = redirect.map(|r| r.token);
    let connection = caller
        .connect(&options.endpoint, routing_token)
        .await
        .map_err(Attempt::NotSent)?;
    let head = RequestHead {
        class: RequestClass::Upload,
        organisation: options.organisation.clone(),
        deadline: remaining,
        ticket: None,
        reservation_serial: redirect.map(|r| r.serial),
        resume_from: None,
        body_len: ByteSize::new(file.len() as u64),
    };
    let started = connection.start(&CallerFrame::Request(head)).await;
    let (mut send, mut recv) = started.map_err(|_cut| Attempt::MayHaveRun)?;
    // The answer is read while the file is sent, as a refusal may come before its end.
    let write = async {
        if send.write_all(file).await.is_ok() {
            let _closed = send.finish();
        }
    };
    let (response, ()) = tokio::join!(read_response(&mut recv), write);
    connection.close();
    response.map_err(|_cut| Attempt::MayHaveRun)
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
