//! The stand-in for the platform's key-value service, which serves an in-memory store over
//! HTTP/1.1.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};

use bytes::Bytes;
use cranberrypitch_net::store::wire::{Answer, Call, EPOCH_HEADER, MAX_BODY_BYTES, PATH};
use cranberrypitch_net::store::{
    CallCounters, Error, FaultInjector, MemoryStore, Result, SetEpoch, Store,
};
use derive_more::{Display, Error as DeriveError};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// A running stand-in for the key-value service, which stops on drop.
#[derive(Debug)]
pub struct StoreServer {
    address: SocketAddrV4,
    store: MemoryStore,
    task: JoinHandle<()>,
}

/// Closes the connection without a response.
#[derive(Clone, Copy, Debug, Display, DeriveError)]
#[display("no response because of fault injection")]
struct NoResponse;

impl StoreServer {
    /// Binds to an address and serves `store` there. Port 0 selects a free port.
    pub async fn bind(address: SocketAddrV4, store: MemoryStore) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let task = tokio::spawn(accept(listener, store.clone()));
        Ok(Self {
            address,
            store,
            task,
        })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Returns the in-memory store.
    pub const fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Returns the fault injector of the store.
    pub fn faults(&self) -> &FaultInjector {
        self.store.faults()
    }

    /// Returns the counters of the calls.
    pub fn counters(&self) -> &CallCounters {
        self.store.counters()
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, store: MemoryStore) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, store.clone()));
            }
            Err(error) => log::warn!("stand-in store failed to accept a connection: {error}"),
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, store: MemoryStore) {
    // With Nagle's algorithm, each response would wait for the delayed ACK of the previous one.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| respond(request, &store));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection to the stand-in store failed: {error}");
    }
}

async fn respond(
    request: Request<Incoming>,
    store: &MemoryStore,
) -> std::result::Result<Response<Full<Bytes>>, NoResponse> {
    let mut response = respond_to_call(request, store).await?;
    if let Some(epoch) = store.epoch() {
        let headers = response.headers_mut();
        headers.insert(EPOCH_HEADER, header::HeaderValue::from(epoch.get()));
    }
    Ok(response)
}

async fn respond_to_call(
    request: Request<Incoming>,
    store: &MemoryStore,
) -> std::result::Result<Response<Full<Bytes>>, NoResponse> {
    if request.method() != Method::POST || request.uri().path() != PATH {
        return Ok(error_response(&Error::refused(&"unknown method or path")));
    }
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let Ok(body) = body.await else {
        return Ok(error_response(&Error::refused(
            &"can't read the request body",
        )));
    };
    // The service knows only the numbers of a call, not the epochs in which they were issued.
    let epoch = store.epoch().unwrap_or_default();
    let call = Call::decode(&body.to_bytes()).map(|call| call.in_epoch(epoch));
    let outcome = match call {
        Ok(call) if call.operation().is_write() => execute_detached(call, store.clone()).await,
        Ok(call) => execute(call, store).await,
        Err(error) => Err(error),
    };
    match outcome {
        Ok(answer) => Ok(json_response(StatusCode::OK, &answer)),
        Err(Error::OutcomeUnknown { .. }) => Err(NoResponse),
        Err(error) => Ok(error_response(&error)),
    }
}

/// Executes a write in a task of its own. As in a real service, it takes effect even if its
/// connection is closed.
async fn execute_detached(call: Call, store: MemoryStore) -> Result<Answer> {
    match tokio::spawn(async move { execute(call, &store).await }).await {
        Ok(outcome) => outcome,
        Err(error) => Err(Error::outcome_unknown(&error)),
    }
}

async fn execute(call: Call, store: &MemoryStore) -> Result<Answer> {
    Ok(match call {
        Call::Get { key } => Answer::Entry(store.get(&key).await?),
        Call::Put(put) => Answer::Written(store.put(put).await?),
        Call::Delete { key, version } => done(store.delete(&key, version).await?),
        Call::List { prefix } => Answer::Listing(store.list(&prefix).await?),
        Call::Grant { ttl } => Answer::Granted(store.grant(ttl).await?),
        Call::Renew { lease } => done(store.renew(lease).await?),
        Call::Release { lease } => done(store.release(lease).await?),
        Call::Watch {
            prefix,
            after,
            wait,
        } => Answer::Watched(store.watch(&prefix, after, wait).await?),
    })
}

const fn done((): ()) -> Answer {
    Answer::Done
}

fn error_response(error: &Error) -> Response<Full<Bytes>> {
    let status = match error {
        Error::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Error::Conflict { .. } => StatusCode::CONFLICT,
        Error::LeaseLapsed { .. } => StatusCode::GONE,
        Error::ValueTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    json_response(status, error)
}

fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
