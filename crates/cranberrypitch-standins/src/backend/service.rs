//! The HTTP endpoints of the stand-in backend server.

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

use super::answer::{self, HttpResponse, ResponseBody};
use super::faults::{Faults, ResetPoint};
use super::feed::Subscriber;
use super::journal::RunOutcome;
use super::requests::Registration;
use super::server::{Run, Server};

/// The maximum length of the body of an order.
const MAX_ORDER_BYTES: usize = 1 << 20;

/// Closes the connection by a reset instead of a response.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection reset by fault injection")]
pub(crate) struct Reset;

/// The reason why a handler returns early.
#[derive(Debug)]
enum HandlerError {
    /// An error response is sent.
    Response(Box<HttpResponse>),
    /// The connection is reset.
    Reset,
}

impl From<HttpResponse> for HandlerError {
    fn from(response: HttpResponse) -> Self {
        Self::Response(Box::new(response))
    }
}

type HandlerResult = Result<HttpResponse, HandlerError>;

/// The headers of an order, upload or feed.
#[derive(Debug)]
struct RequestHead {
    request_id: Box<str>,
    organisation: Box<str>,
    deadline: Option<Instant>,
}

/// Handles a request. `resets_on_drop` is set if its connection is to be reset.
pub(crate) async fn respond(
    server: &Arc<Server>,
    request: Request<Incoming>,
    is_over_limit: bool,
    resets_on_drop: &AtomicBool,
) -> Result<HttpResponse, Reset> {
    server.wait_until_unfrozen().await;
    let result = if is_over_limit {
        let response = answer::not_run(StatusCode::SERVICE_UNAVAILABLE, "connection limit");
        Ok(answer::close_connection(response))
    } else {
        route(server, request).await
    };
    server.wait_until_unfrozen().await;
    match result {
        Ok(response) => Ok(response),
        Err(HandlerError::Response(response)) => Ok(*response),
        Err(HandlerError::Reset) => {
            resets_on_drop.store(true, Ordering::Relaxed);
            Err(Reset)
        }
    }
}

async fn route(server: &Arc<Server>, request: Request<Incoming>) -> HandlerResult {
    #[derive(Serialize)]
    struct Health {
        state: BackendState,
    }
    #[derive(Serialize)]
    struct Cancellation {
        state: CancelState,
    }
    let path: Box<str> = request.uri().path().into();
    match (request.method(), &*path) {
        (&Method::POST, "/orders") => order(server, request).await,
        (&Method::POST, "/uploads") => upload(server, request).await,
        (&Method::GET, "/feeds") => feed(server, &request),
        (&Method::GET, "/health") => {
            let state = server.reported_state();
            Ok(answer::json(StatusCode::OK, &Health { state }))
        }
        (&Method::GET, "/load") => Ok(answer::json(StatusCode::OK, &server.reported_load())),
        (&Method::GET, "/journal") => Ok(answer::json(StatusCode::OK, &server.journal.entries())),
        (&Method::POST, "/drain") => {
            server.drain();
            let state = BackendState::Draining;
            Ok(answer::json(StatusCode::ACCEPTED, &Health { state }))
        }
        (&Method::DELETE, _) if path.starts_with("/requests/") => {
            let state = server.requests.cancel(&path["/requests/".len()..]);
            Ok(answer::json(StatusCode::OK, &Cancellation { state }))
        }
        _ => Ok(answer::error(StatusCode::NOT_FOUND, "no such endpoint")),
    }
}

async fn order(server: &Arc<Server>, request: Request<Incoming>) -> HandlerResult {
    #[derive(Serialize)]
    struct OrderContent<'a> {
        request_id: &'a str,
        key: &'a str,
        pair: [u16; 2],
    }
    let head = read_head(&request)?;
    let registration = admit(server, &head)?;
    let body = Limited::new(request.into_body(), MAX_ORDER_BYTES);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            return Err(not_run(
                StatusCode::BAD_REQUEST,
                "can't read the request body",
            ));
        }
    };
    let key = order_key(&body);
    let request_id = head.request_id.clone();
    let run = start_run(
        server,
        registration,
        head,
        RequestClass::Order,
        Some(key.clone()),
    )
    .await?;
    let content = OrderContent {
        request_id: &request_id,
        key: &key,
        pair: pair_for_key(&key),
    };
    execute(server, run, &content).await
}

async fn upload(server: &Arc<Server>, request: Request<Incoming>) -> HandlerResult {
    #[derive(Serialize)]
    struct UploadContent {
        len_bytes: u64,
        sha256: String,
    }
    let head = read_head(&request)?;
    let registration = admit(server, &head)?;
    let run = start_run(server, registration, head, RequestClass::Upload, None).await?;
    let hash = hash_body(request.into_body());
    let result = tokio::select! {
        () = run.registration.cancelled() => {
            run.record.finish(RunOutcome::Cancelled);
            return Err(cancelled_during_run().into());
        }
        result = hash => result,
    };
    // If the upload is incomplete, the drop of the record marks the run as interrupted.
    let (len_bytes, sha256) = result.ok_or(HandlerError::Reset)?;
    execute(server, run, &UploadContent { len_bytes, sha256 }).await
}

fn feed(server: &Arc<Server>, request: &Request<Incoming>) -> HandlerResult {
    let head = read_head(request)?;
    check_admission(server, &head)?;
    let first_sequence = match parse_from(request.uri().query()) {
        Ok(from) => from.unwrap_or_else(|| server.newest_reading()),
        Err(_) => {
            return Err(not_run(
                StatusCode::BAD_REQUEST,
                "query parameter 'from' must be a number",
            ));
        }
    };
    let subscriber = Subscriber {
        request_id: head.request_id,
        organisation: head.organisation,
    };
    let readings = server.open_feed(first_sequence, subscriber);
    let mut response = answer::with_status(StatusCode::OK, ResponseBody::Feed(readings));
    response
        .headers_mut()
        .insert("x-first-sequence", HeaderValue::from(first_sequence));
    Ok(response)
}

/// Returns the number in the query `from=NUMBER`, or `None` for another query.
fn parse_from(query: Option<&str>) -> Result<Option<u64>, <u64 as FromStr>::Err> {
    let from = query.and_then(|query| query.strip_prefix("from="));
    from.map(str::parse).transpose()
}

fn read_head(request: &Request<Incoming>) -> Result<RequestHead, HandlerError> {
    let text = |name: &str| {
        let value = request.headers().get(name).map(HeaderValue::to_str);
        value.and_then(Result::ok)
    };
    let Some(request_id) = text("x-request-id") else {
        return Err(not_run(
            StatusCode::BAD_REQUEST,
            "header x-request-id is missing",
        ));
    };
    let Some(organisation) = text("x-tenant") else {
        return Err(not_run(
            StatusCode::BAD_REQUEST,
            "header x-tenant is missing",
        ));
    };
    let deadline = match text("x-deadline-ms").map(str::parse).transpose() {
        // A deadline that overflows the clock counts as none.
        Ok(deadline_ms) => {
            deadline_ms.and_then(|ms| Instant::now().checked_add(Duration::from_millis(ms)))
        }
        Err(_) => {
            return Err(not_run(
                StatusCode::BAD_REQUEST,
                "header x-deadline-ms must be a number",
            ));
        }
    };
    Ok(RequestHead {
        request_id: request_id.into(),
        organisation: organisation.into(),
        deadline,
    })
}

/// Refuses a request if the server drains, sheds it, or its deadline has passed.
fn check_admission(server: &Server, head: &RequestHead) -> Result<(), HandlerError> {
    if server.is_draining() {
        return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "draining"));
    }
    let (shed_rate, silent_shed_rate) = {
        let faults = server.faults.borrow();
        (faults.shed_rate, faults.silent_shed_rate)
    };
    if server.draw_bool(shed_rate) {
        return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    }
    if server.draw_bool(silent_shed_rate) {
        return Err(answer::error(StatusCode::SERVICE_UNAVAILABLE, "busy").into());
    }
    if head
        .deadline
        .is_some_and(|deadline| deadline <= Instant::now())
    {
        return Err(deadline_passed());
    }
    Ok(())
}

/// Checks a request and registers it as waiting.
fn admit(server: &Server, head: &RequestHead) -> Result<Registration, HandlerError> {
    check_admission(server, head)?;
    let registration = server.requests.register(&head.request_id);
    registration.ok_or_else(|| not_run(StatusCode::CONFLICT, "request id is already in use"))
}

/// Waits for a slot and starts the run.
async fn start_run(
    server: &Arc<Server>,
    registration: Registration,
    head: RequestHead,
    class: RequestClass,
    order_key: Option<Box<str>>,
) -> Result<Run, HandlerError> {
    if server.faults.borrow().reset_point == Some(ResetPoint::Before) {
        return Err(HandlerError::Reset);
    }
    let permit = tokio::select! {
        biased;
        () = registration.cancelled() => return Err(cancelled_before_start()),
        () = sleep_until_deadline(head.deadline) => return Err(deadline_passed()),
        permit = Arc::clone(&server.slots).acquire_owned() => permit,
    };
    let Ok(permit) = permit else {
        return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "server stopped"));
    };
    if server.is_draining() {
        return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "draining"));
    }
    if !registration.start() {
        return Err(cancelled_before_start());
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

/// Executes a run and returns its response.
async fn execute<T: Serialize>(server: &Arc<Server>, run: Run, content: &T) -> HandlerResult {
    let service_time = server.draw_service_time();
    let outcome = server.spawn_run(run, service_time);
    let faults: Faults = server.faults.borrow().clone();
    if faults.reset_point == Some(ResetPoint::During) {
        sleep(service_time / 2).await;
        return Err(HandlerError::Reset);
    }
    let outcome = outcome.await;
    sleep(faults.response_delay).await;
    if faults.reset_point == Some(ResetPoint::After) {
        return Err(HandlerError::Reset);
    }
    let response = match outcome {
        Ok(RunOutcome::Done) => answer::json(StatusCode::OK, content),
        Ok(RunOutcome::Cancelled) => cancelled_during_run(),
        Ok(_) => answer::error(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        Err(_aborted) => return Err(HandlerError::Reset),
    };
    Ok(if faults.truncates_responses {
        answer::truncate(response)
    } else {
        response
    })
}

async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

fn not_run(status: StatusCode, reason: &str) -> HandlerError {
    answer::not_run(status, reason).into()
}

fn deadline_passed() -> HandlerError {
    not_run(StatusCode::SERVICE_UNAVAILABLE, "deadline passed")
}

fn cancelled_before_start() -> HandlerError {
    not_run(StatusCode::SERVICE_UNAVAILABLE, "cancelled")
}

fn cancelled_during_run() -> HttpResponse {
    answer::error(StatusCode::CONFLICT, "cancelled")
}

/// Returns the field `key` of an order, or the SHA-256 of its body if it has none.
fn order_key(body: &Bytes) -> Box<str> {
    #[derive(Deserialize)]
    struct Order {
        key: Box<str>,
    }
    serde_json::from_slice(body).map_or_else(
        |_error| hex(digest(&SHA256, body).as_ref()).into(),
        |order: Order| order.key,
    )
}

/// Returns the pair of numbers that is assigned to an order, which depends on its key only.
fn pair_for_key(key: &str) -> [u16; 2] {
    let hash = digest(&SHA256, key.as_bytes());
    let hash = hash.as_ref();
    [
        u16::from_be_bytes([hash[0], hash[1]]),
        u16::from_be_bytes([hash[2], hash[3]]),
    ]
}

/// Reads a body and returns its length and SHA-256, or `None` if the body is incomplete.
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
