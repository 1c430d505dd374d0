//! The endpoints of the backend server.

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_agent::backend::{BackendState, CancelState};
use cranberrypitch_core::RequestClass;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use ring::digest::{Context, SHA256, digest};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};

use super::answer::{self, Answer, AnswerBody};
use super::faults::{Faults, ResetPoint};
use super::feed::Subscriber;
use super::journal::RunOutcome;
use super::requests::Registration;
use super::server::{Run, Server};

const MAX_ORDER_BYTES: usize = 1 << 20;

/// The connection is to be reset in place of an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection reset by a fault switch")]
pub(crate) struct Reset;

/// What came before an answer could be made: an answer that refuses, or a reset.
#[derive(Debug)]
enum Stop {
    Answer(Box<Answer>),
    Reset,
}

impl From<Answer> for Stop {
    fn from(answer: Answer) -> Self {
        Self::Answer(Box::new(answer))
    }
}

type Handled = Result<Answer, Stop>;

/// The headers of a request that is to run.
#[derive(Debug)]
struct Head {
    request_id: Box<str>,
    organisation: Box<str>,
    deadline: Option<Instant>,
}

/// Answers a request.
pub(crate) async fn answer(
    server: &Arc<Server>,
    request: Request<Incoming>,
    is_excess: bool,
    reset: &AtomicBool,
) -> Result<Answer, Reset> {
    server.thawed().await;
    let handled = if is_excess {
        let refusal = answer::not_run(StatusCode::SERVICE_UNAVAILABLE, "connection limit");
        Ok(answer::closing(refusal))
    } else {
        route(server, request).await
    };
    server.thawed().await;
    match handled {
        Ok(answer) => Ok(answer),
        Err(Stop::Answer(answer)) => Ok(*answer),
        Err(Stop::Reset) => {
            reset.store(true, Ordering::Relaxed);
            Err(Reset)
        }
    }
}

async fn route(server: &Arc<Server>, request: Request<Incoming>) -> Handled {
    #[derive(Serialize)]
    struct Health {
        state: BackendState,
    }
    #[derive(Serialize)]
    struct Cancelled {
        state: CancelState,
    }
    let path: Box<str> = request.uri().path().into();
    match (request.method(), &*path) {
        (&Method::POST, "/orders") => order(server, request).await,
        (&Method::POST, "/uploads") => upload(server, request).await,
        (&Method::GET, "/feeds") => feed(server, &request),
        (&Method::GET, "/health") => {
            let state = server.claimed_state();
            Ok(answer::json(StatusCode::OK, &Health { state }))
        }
        (&Method::GET, "/load") => Ok(answer::json(StatusCode::OK, &server.claimed_load())),
        (&Method::GET, "/journal") => Ok(answer::json(StatusCode::OK, &server.journal.entries())),
        (&Method::POST, "/drain") => {
            server.drain();
            let state = BackendState::Draining;
            Ok(answer::json(StatusCode::ACCEPTED, &Health { state }))
        }
        (&Method::DELETE, _) if path.starts_with("/requests/") => {
            let state = server.requests.cancel(&path["/requests/".len()..]);
            Ok(answer::json(StatusCode::OK, &Cancelled { state }))
        }
        _ => Ok(answer::error(StatusCode::NOT_FOUND, "no such endpoint")),
    }
}

async fn order(server: &Arc<Server>, request: Request<Incoming>) -> Handled {
    #[derive(Serialize)]
    struct OrderAnswer<'a> {
        request_id: &'a str,
        key: &'a str,
        pair: [u16; 2],
    }
    let head = read_head(&request)?;
    let registration = admit(server, &head)?;
    let body = Limited::new(request.into_body(), MAX_ORDER_BYTES);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Err(refuse(StatusCode::BAD_REQUEST, "unreadable body")),
    };
    let key = order_key(&body);
    let request_id = head.request_id.clone();
    let run = start(
        server,
        registration,
        head,
        RequestClass::Order,
        Some(key.clone()),
    )
    .await?;
    let content = OrderAnswer {
        request_id: &request_id,
        key: &key,
        pair: pair_of(&key),
    };
    finish(server, run, &content).await
}

async fn upload(server: &Arc<Server>, request: Request<Incoming>) -> Handled {
    #[derive(Serialize)]
    struct UploadAnswer {
        len_bytes: u64,
        sha256: String,
    }
    let head = read_head(&request)?;
    let registration = admit(server, &head)?;
    let run = start(server, registration, head, RequestClass::Upload, None).await?;
    let hashing = hash_body(request.into_body());
    let hashed = tokio::select! {
        () = run.registration.cancelled() => {
            run.record.finish(RunOutcome::Cancelled);
            return Err(cancelled().into());
        }
        hashed = hashing => hashed,
    };
    // The upload broke off; the record is dropped as interrupted.
    let (len_bytes, sha256) = hashed.ok_or(Stop::Reset)?;
    finish(server, run, &UploadAnswer { len_bytes, sha256 }).await
}

fn feed(server: &Arc<Server>, request: &Request<Incoming>) -> Handled {
    let head = read_head(request)?;
    check_open(server, &head)?;
    let first = match from_of(request.uri().query()) {
        Ok(from) => from.unwrap_or_else(|| server.newest_reading()),
        Err(_) => return Err(refuse(StatusCode::BAD_REQUEST, "'from' is a number")),
    };
    let subscriber = Subscriber {
        request_id: head.request_id,
        organisation: head.organisation,
    };
    let readings = server.open_feed(first, subscriber);
    let mut answer = answer::with_status(StatusCode::OK, AnswerBody::Feed(readings));
    answer
        .headers_mut()
        .insert("x-first-sequence", HeaderValue::from(first));
    Ok(answer)
}

fn from_of(query: Option<&str>) -> Result<Option<u64>, <u64 as FromStr>::Err> {
    let from = query.and_then(|query| query.strip_prefix("from="));
    from.map(str::parse).transpose()
}

fn read_head(request: &Request<Incoming>) -> Result<Head, Stop> {
    let text = |name: &str| {
        let value = request.headers().get(name).map(HeaderValue::to_str);
        value.and_then(Result::ok)
    };
    let Some(request_id) = text("x-request-id") else {
        return Err(refuse(StatusCode::BAD_REQUEST, "x-request-id is missing"));
    };
    let Some(organisation) = text("x-tenant") else {
        return Err(refuse(StatusCode::BAD_REQUEST, "x-tenant is missing"));
    };
    let deadline = match text("x-deadline-ms").map(str::parse).transpose() {
        // A deadline beyond what an instant holds never passes.
        Ok(deadline_ms) => {
            deadline_ms.and_then(|ms| Instant::now().checked_add(Duration::from_millis(ms)))
        }
        Err(_) => return Err(refuse(StatusCode::BAD_REQUEST, "x-deadline-ms is a number")),
    };
    Ok(Head {
        request_id: request_id.into(),
        organisation: organisation.into(),
        deadline,
    })
}

/// Refuses a request that is late, or that the server takes no part in.
fn check_open(server: &Server, head: &Head) -> Result<(), Stop> {
    if server.is_draining() {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "draining"));
    }
    let (shed_rate, silent_shed_rate) = {
        let faults = server.faults.borrow();
        (faults.shed_rate, faults.silent_shed_rate)
    };
    if server.happens(shed_rate) {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    }
    if server.happens(silent_shed_rate) {
        return Err(answer::error(StatusCode::SERVICE_UNAVAILABLE, "busy").into());
    }
    if head
        .deadline
        .is_some_and(|deadline| deadline <= Instant::now())
    {
        return Err(late());
    }
    Ok(())
}

fn admit(server: &Server, head: &Head) -> Result<Registration, Stop> {
    check_open(server, head)?;
    let registration = server.requests.enter(&head.request_id);
    registration.ok_or_else(|| refuse(StatusCode::CONFLICT, "request id in use"))
}

/// Waits for a slot and starts the run.
async fn start(
    server: &Arc<Server>,
    registration: Registration,
    head: Head,
    class: RequestClass,
    order_key: Option<Box<str>>,
) -> Result<Run, Stop> {
    if server.faults.borrow().reset_point == Some(ResetPoint::Before) {
        return Err(Stop::Reset);
    }
    let permit = tokio::select! {
        biased;
        () = registration.cancelled() => return Err(withdrawn()),
        () = until(head.deadline) => return Err(late()),
        permit = Arc::clone(&server.slots).acquire_owned() => permit,
    };
    let Ok(permit) = permit else {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "stopped"));
    };
    if server.is_draining() {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "draining"));
    }
    if !registration.start() {
        return Err(withdrawn());
    }
    let request_id = registration.id().into();
    let record = server
        .journal
        .start(class, request_id, head.organisation, order_key);
    Ok(Run {
        registration,
        record,
        permit,
    })
}

/// Runs a request to its end and answers it.
async fn finish<T: Serialize>(server: &Arc<Server>, run: Run, content: &T) -> Handled {
    let service_time = server.draw_service_time();
    let outcome = server.spawn_run(run, service_time);
    let faults: Faults = server.faults.borrow().clone();
    if faults.reset_point == Some(ResetPoint::During) {
        sleep(service_time / 2).await;
        return Err(Stop::Reset);
    }
    let outcome = outcome.await;
    sleep(faults.response_delay).await;
    if faults.reset_point == Some(ResetPoint::After) {
        return Err(Stop::Reset);
    }
    let answer = match outcome {
        Ok(RunOutcome::Done) => answer::json(StatusCode::OK, content),
        Ok(RunOutcome::Cancelled) => cancelled(),
        Ok(_) => answer::error(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        Err(_killed) => return Err(Stop::Reset),
    };
    Ok(if faults.truncates_responses {
        answer::cut(answer)
    } else {
        answer
    })
}

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

fn refuse(status: StatusCode, reason: &str) -> Stop {
    answer::not_run(status, reason).into()
}

fn late() -> Stop {
    refuse(StatusCode::SERVICE_UNAVAILABLE, "deadline passed")
}

fn withdrawn() -> Stop {
    refuse(StatusCode::SERVICE_UNAVAILABLE, "cancelled")
}

fn cancelled() -> Answer {
    answer::error(StatusCode::CONFLICT, "cancelled")
}

/// Returns the field `key` of an order, or the hash of an order that has none.
fn order_key(body: &Bytes) -> Box<str> {
    #[derive(Deserialize)]
    struct Order {
        key: Box<str>,
    }
    serde_json::from_slice(body).map_or_else(
        |_no_key| hex(digest(&SHA256, body).as_ref()).into(),
        |order: Order| order.key,
    )
}

/// Returns the pair that an order is assigned, which depends on nothing but its key.
fn pair_of(key: &str) -> [u16; 2] {
    let hash = digest(&SHA256, key.as_bytes());
    let hash = hash.as_ref();
    [
        u16::from_be_bytes([hash[0], hash[1]]),
        u16::from_be_bytes([hash[2], hash[3]]),
    ]
}

/// Reads a body to its end and returns its length and hash, or nothing when it broke off.
async fn hash_body(mut body: Incoming) -> Option<(u64, String)> {
    let mut hash = Context::new(&SHA256);
    let mut len_bytes = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            hash.update(&data);
            len_bytes += data.len() as u64;
        }
    }
    Some((len_bytes, hex(hash.finish().as_ref())))
}

fn hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 0x0f]);
    digits
        .filter_map(|digit| char::from_digit(digit.into(), 16))
        .collect()
}
