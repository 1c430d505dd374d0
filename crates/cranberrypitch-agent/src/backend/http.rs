//! The adapter for HTTP/1.1 backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranberrypitch_core::ByteSize;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;
use hyper::header::{EXPECT, HOST, HeaderMap, TRANSFER_ENCODING};
use hyper::http::request::Builder;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};

use super::body::{RequestBody, forward_body};
use super::errors::{BackendError, FailureCause, Result};
use super::feed::HttpFeed;
use super::pool::{ConnectionPool, Exchange};
use super::request::{
    BackendLoad, BackendRequestId, BackendResponse, BackendState, CancelState, RequestInfo,
};
use super::{BackendServer, BodySource};

const REQUEST_ID_HEADER: &str = "x-request-id";
const ORGANISATION_HEADER: &str = "x-tenant";
const DEADLINE_MS_HEADER: &str = "x-deadline-ms";
const NOT_RUN_HEADER: &str = "x-not-run";
const FIRST_SEQUENCE_HEADER: &str = "x-first-sequence";

/// The maximum of all timeouts. Callers may request any duration, and a deadline must not overflow.
const MAX_TIMEOUT: Duration = Duration::from_hours(24);

/// The options of an [`HttpBackend`].
#[derive(Clone, Copy, Debug)]
pub struct HttpBackendOptions {
    idle_connections_max: usize,
    idle_timeout: Duration,
    connect_timeout: Duration,
    probe_timeout: Duration,
    continue_timeout: Duration,
    response_size_max: ByteSize,
}

impl Default for HttpBackendOptions {
    fn default() -> Self {
        Self {
            idle_connections_max: 64,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            probe_timeout: Duration::from_secs(1),
            continue_timeout: Duration::from_secs(1),
            response_size_max: ByteSize::new(4 << 20),
        }
    }
}

impl HttpBackendOptions {
    /// Sets the maximum number of idle connections.
    #[must_use]
    pub const fn idle_connections_max(mut self, idle_connections_max: usize) -> Self {
        self.idle_connections_max = idle_connections_max;
        self
    }

    /// Sets how long an idle connection stays open.
    #[must_use]
    pub const fn idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets how long a connection attempt may take.
    #[must_use]
    pub const fn connect_timeout(mut self, connect_timeout: Duration) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets how long a health or load query, or a cancellation, may take.
    #[must_use]
    pub const fn probe_timeout(mut self, probe_timeout: Duration) -> Self {
        self.probe_timeout = probe_timeout;
        self
    }

    /// Sets how long an upload waits for the status `100 Continue` before its body is sent anyway.
    ///
    /// A backend server that refuses an upload while it receives the body may reset the connection.
    /// Its response is then lost and the outcome unknown, so the body is delayed until the backend
    /// server accepts it. Some backend servers never send `100 Continue`.
    #[must_use]
    pub const fn continue_timeout(mut self, continue_timeout: Duration) -> Self {
        self.continue_timeout = continue_timeout;
        self
    }

    /// Sets the maximum length of the body of a response.
    #[must_use]
    pub const fn response_size_max(mut self, response_size_max: ByteSize) -> Self {
        self.response_size_max = response_size_max;
        self
    }
}

/// A client of one HTTP/1.1 backend server.
#[derive(Debug)]
pub struct HttpBackend {
    pool: ConnectionPool,
    options: HttpBackendOptions,
}

/// The deadlines of one request.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    connect: Instant,
    start: Instant,
    response: Instant,
}

impl Deadlines {
    /// Refuses a request whose deadline has passed before it is sent. The timeouts alone would not
    /// prevent it: timers fire up to a millisecond late, and an open connection needs no waiting.
    fn check(self) -> Result<()> {
        if Instant::now() < self.start.min(self.response) {
            Ok(())
        } else {
            Err(not_run(FailureCause::DeadlineExceeded))
        }
    }
}

impl HttpBackend {
    /// Returns a client of the backend server at an address. It connects with the first request.
    pub fn new(address: SocketAddr, options: HttpBackendOptions) -> Self {
        Self {
            pool: ConnectionPool::new(address, options.idle_connections_max, options.idle_timeout),
            options,
        }
    }

    fn deadlines(&self, start_timeout: Duration, response_timeout: Duration) -> Deadlines {
        let now = Instant::now();
        let connect_timeout = self.options.connect_timeout;
        Deadlines {
            connect: now
                + connect_timeout
                    .min(start_timeout)
                    .min(response_timeout)
                    .min(MAX_TIMEOUT),
            start: now + start_timeout.min(MAX_TIMEOUT),
            response: now + response_timeout.min(MAX_TIMEOUT),
        }
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.pool.address().to_string())
    }

    /// Sends a request with a body in memory, and returns the exchange and the response head.
    ///
    /// A reused connection may turn out to be closed before any byte is written to it. The request
    /// is then sent on a new connection.
    async fn send(
        &self,
        deadlines: Deadlines,
        build: impl Fn() -> Result<Request<RequestBody>>,
    ) -> Result<(Exchange, Response<Incoming>)> {
        deadlines.check()?;
        let exchange = self
            .pool
            .acquire(deadlines.connect)
            .await
            .map_err(not_run)?;
        let is_reused = exchange.is_reused;
        match send_on_connection(exchange, build()?, deadlines).await {
            Err(error) if is_reused && error.is_not_run() => {
                let exchange = self.pool.open(deadlines.connect).await.map_err(not_run)?;
                send_on_connection(exchange, build()?, deadlines).await
            }
            result => result,
        }
    }

    /// Reads the complete response and returns the connection to the pool if it is reusable.
    async fn read_response(
        &self,
        exchange: Exchange,
        response: Response<Incoming>,
        deadlines: Deadlines,
        is_connection_reusable: bool,
    ) -> Result<BackendResponse> {
        let (head, body) = response.into_parts();
        if !is_framed(&head.headers, &body) {
            return Err(exchange.into_error(FailureCause::UnframedResponse));
        }
        let limit_bytes =
            usize::try_from(self.options.response_size_max.get()).unwrap_or(usize::MAX);
        let body = match timeout_at(deadlines.response, read_body(body, limit_bytes)).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => return Err(exchange.into_error(cause)),
            Err(_elapsed) => return Err(exchange.into_error(FailureCause::DeadlineExceeded)),
        };
        if is_connection_reusable {
            self.pool.release(exchange);
        }
        classify_response(head.status, &head.headers, body)
    }

    async fn probe<T: DeserializeOwned>(&self, method: Method, path: &str) -> Result<T> {
        let timeout = self.options.probe_timeout;
        let deadlines = self.deadlines(timeout, timeout);
        let build = || with_body(self.request(method.clone(), path), Bytes::new().into());
        let (exchange, response) = self.send(deadlines, build).await?;
        let response = self
            .read_response(exchange, response, deadlines, true)
            .await?;
        serde_json::from_slice(&response.body).map_err(|_malformed| BackendError::OutcomeUnknown {
            cause: FailureCause::MalformedResponse,
        })
    }

    async fn stream_upload<S: BodySource>(
        &self,
        request: Builder,
        body_len: ByteSize,
        source: S,
        deadlines: Deadlines,
    ) -> Result<BackendResponse> {
        deadlines.check()?;
        let exchange = self
            .pool
            .acquire(deadlines.connect)
            .await
            .map_err(not_run)?;
        let (chunks, body) = RequestBody::streamed(body_len);
        let request = with_deadline(request, deadlines).header(EXPECT, "100-continue");
        let mut request = with_body(request, body)?;
        let continue_received = continue_signal(&mut request);
        let response = send_on_connection(exchange, request, deadlines);
        let forwarding = async {
            // The body is sent after the timeout even without `100 Continue`.
            let _continue =
                timeout(self.options.continue_timeout, continue_received.notified()).await;
            forward_body(source, chunks, body_len).await
        };
        tokio::pin!(response, forwarding);
        // The response may arrive before the body is sent, for example if the request is refused.
        let (result, is_body_sent) = tokio::select! {
            biased;
            forwarded = &mut forwarding => match forwarded {
                Ok(is_body_sent) => (response.await, is_body_sent),
                Err(error) => return Err(body_source_error(response.await, &error)),
            },
            result = &mut response => (result, false),
        };
        let (exchange, response) = result?;
        self.read_response(exchange, response, deadlines, is_body_sent)
            .await
    }
}

impl BackendServer for HttpBackend {
    type Feed = HttpFeed;

    async fn order(&self, info: &RequestInfo, body: Bytes) -> Result<BackendResponse> {
        let deadlines = self.deadlines(info.start_timeout, info.response_timeout);
        let build = || {
            let request = with_request_info(self.request(Method::POST, "/orders"), info);
            with_body(with_deadline(request, deadlines), body.clone().into())
        };
        let (exchange, response) = self.send(deadlines, build).await?;
        self.read_response(exchange, response, deadlines, true)
            .await
    }

    async fn upload<S: BodySource>(
        &self,
        info: &RequestInfo,
        body_len: ByteSize,
        body: S,
    ) -> Result<BackendResponse> {
        let deadlines = self.deadlines(info.start_timeout, info.response_timeout);
        let request = with_request_info(self.request(Method::POST, "/uploads"), info);
        self.stream_upload(request, body_len, body, deadlines).await
    }

    async fn feed(&self, info: &RequestInfo, from: Option<u64>) -> Result<HttpFeed> {
        let deadlines = self.deadlines(info.start_timeout, info.response_timeout);
        let path = from.map_or_else(|| "/feeds".into(), |from| format!("/feeds?from={from}"));
        let build = || {
            let request = with_request_info(self.request(Method::GET, &path), info);
            with_body(with_deadline(request, deadlines), Bytes::new().into())
        };
        let (exchange, response) = self.send(deadlines, build).await?;
        if !response.status().is_success() {
            let response = self
                .read_response(exchange, response, deadlines, true)
                .await;
            return Err(response.err().unwrap_or(BackendError::OutcomeUnknown {
                cause: FailureCause::MalformedResponse,
            }));
        }
        open_feed(exchange, response, from)
    }

    async fn health(&self) -> Result<BackendState> {
        #[derive(serde::Deserialize)]
        struct Health {
            state: BackendState,
        }
        let health: Health = self.probe(Method::GET, "/health").await?;
        Ok(health.state)
    }

    async fn load(&self) -> Result<BackendLoad> {
        self.probe(Method::GET, "/load").await
    }

    async fn cancel(&self, id: BackendRequestId) -> Result<CancelState> {
        #[derive(serde::Deserialize)]
        struct Cancelled {
            state: CancelState,
        }
        let path = format!("/requests/{id}");
        let cancelled: Cancelled = self.probe(Method::DELETE, &path).await?;
        Ok(cancelled.state)
    }

    fn address(&self) -> SocketAddr {
        self.pool.address()
    }
}

/// Sends a request and waits for the response head.
async fn send_on_connection(
    mut exchange: Exchange,
    request: Request<RequestBody>,
    deadlines: Deadlines,
) -> Result<(Exchange, Response<Incoming>)> {
    let response = exchange.connection.sender.send_request(request);
    match timeout_at(deadlines.response, response).await {
        Ok(Ok(response)) => Ok((exchange, response)),
        Ok(Err(error)) => Err(exchange.into_error(FailureCause::from(&error))),
        Err(_elapsed) => Err(exchange.into_error(FailureCause::DeadlineExceeded)),
    }
}

/// Returns a notification that fires when the backend server responds with `100 Continue`.
fn continue_signal(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let continue_received = Arc::new(Notify::new());
    let notifier = Arc::clone(&continue_received);
    on_informational(request, move |response| {
        if response.status() == StatusCode::CONTINUE {
            notifier.notify_one();
        }
    });
    continue_received
}

fn open_feed(
    exchange: Exchange,
    response: Response<Incoming>,
    from: Option<u64>,
) -> Result<HttpFeed> {
    let (head, body) = response.into_parts();
    if !is_framed(&head.headers, &body) {
        return Err(exchange.into_error(FailureCause::UnframedResponse));
    }
    let Some(first) = first_sequence(&head.headers) else {
        return Err(exchange.into_error(FailureCause::MalformedResponse));
    };
    match from {
        Some(expected) if expected != first => {
            Err(exchange.into_error(FailureCause::SequenceGap {
                expected,
                found: first,
            }))
        }
        _ => Ok(HttpFeed::new(body, first, exchange)),
    }
}

fn first_sequence(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(FIRST_SEQUENCE_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn with_request_info(request: Builder, info: &RequestInfo) -> Builder {
    request
        .header(REQUEST_ID_HEADER, info.id.to_string())
        .header(ORGANISATION_HEADER, info.organisation.as_str())
}

fn with_deadline(request: Builder, deadlines: Deadlines) -> Builder {
    let remaining = deadlines.start.saturating_duration_since(Instant::now());
    request.header(DEADLINE_MS_HEADER, remaining.as_millis().to_string())
}

fn with_body(request: Builder, body: RequestBody) -> Result<Request<RequestBody>> {
    // The types of the header values and paths rule out invalid ones, so this can't fail.
    request
        .body(body)
        .map_err(|_invalid| not_run(FailureCause::MalformedResponse))
}

/// Returns whether the end of a response can be distinguished from a lost connection.
fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || is_chunked(headers)
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    last.and_then(|value| value.to_str().ok())
        .and_then(|codings| codings.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
) -> std::result::Result<Bytes, FailureCause> {
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| FailureCause::from(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if content.len() + data.len() > limit_bytes {
            return Err(FailureCause::ResponseTooLong { limit_bytes });
        }
        content.extend_from_slice(&data);
    }
    Ok(content.freeze())
}

/// Returns the result that a complete response stands for.
fn classify_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<BackendResponse> {
    let is_not_run = headers
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "true");
    match (status.is_success(), is_not_run) {
        (true, false) => Ok(BackendResponse { body }),
        (true, true) => Err(BackendError::OutcomeUnknown {
            cause: FailureCause::MalformedResponse,
        }),
        (false, true) => Err(not_run(FailureCause::Refused {
            status: status.as_u16(),
        })),
        (false, false) => Err(BackendError::Failed {
            status: status.as_u16(),
            body,
        }),
    }
}

const fn not_run(cause: FailureCause) -> BackendError {
    BackendError::NotRun { cause }
}

/// Returns the error of an upload whose source failed. The outcome is unknown once any byte was
/// written.
fn body_source_error(
    result: Result<(Exchange, Response<Incoming>)>,
    error: &io::Error,
) -> BackendError {
    let cause = FailureCause::BodySource { kind: error.kind() };
    match result {
        Ok((exchange, _)) => exchange.into_error(cause),
        Err(BackendError::NotRun { .. }) => not_run(cause),
        Err(_) => BackendError::OutcomeUnknown { cause },
    }
}
