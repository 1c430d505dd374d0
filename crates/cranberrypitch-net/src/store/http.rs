//! The adapter to the service over HTTP/1.1 with JSON.

use std::net::SocketAddrV4;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::store::errors::{Error, Result};
use crate::store::wire::{Answer, Call, MAX_BODY_BYTES, PATH};
use crate::store::{Entry, LeaseId, Listing, Put, Store, StoreKey, Version, Watched};

/// The connections that are kept open between calls.
const MAX_IDLE: usize = 4;

/// The time that the answer to a watch may take beyond its wait.
const WATCH_MARGIN: Duration = Duration::from_secs(1);

/// The options of an [`HttpStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStoreOptions {
    /// The address of the service.
    pub address: SocketAddrV4,
    /// The time within which a connection is set up.
    pub connect_timeout: Duration,
    /// The time within which a call is answered. The service answers in milliseconds.
    pub call_timeout: Duration,
}

impl HttpStoreOptions {
    /// Returns the options with the usual timeouts.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
        }
    }
}

/// The store behind an address.
#[derive(Debug)]
pub struct HttpStore {
    options: HttpStoreOptions,
    idle: Mutex<Vec<Connection>>,
}

type Connection = SendRequest<Full<Bytes>>;

/// A failure before the request was on its way, or after.
enum Failure {
    NotSent(String),
    Sent(String),
}

impl HttpStore {
    /// Returns the adapter. It connects with the first call.
    pub const fn new(options: HttpStoreOptions) -> Self {
        Self {
            options,
            idle: Mutex::new(Vec::new()),
        }
    }

    async fn call(&self, call: Call) -> Result<Answer> {
        let limit = match &call {
            Call::Watch { wait, .. } => *wait + WATCH_MARGIN,
            _ => self.options.call_timeout,
        };
        let body = serde_json::to_vec(&call).map_err(|e| Error::refused(&e))?;
        match self.exchange(body.into(), limit).await {
            Ok((StatusCode::OK, body)) => {
                Answer::decode(&body).map_err(|e| lost(&call, &format!("malformed answer: {e}")))
            }
            Ok((status, body)) => Err(read_error(&call, status, &body)),
            Err(Failure::NotSent(detail)) => Err(Error::unavailable(&detail)),
            Err(Failure::Sent(detail)) => Err(lost(&call, &detail)),
        }
    }

    async fn exchange(
        &self,
        body: Bytes,
        limit: Duration,
    ) -> std::result::Result<(StatusCode, Bytes), Failure> {
        let mut request = self.request(body)?;
        while let Some(mut connection) = self.take_idle() {
            match timeout(limit, connection.try_send_request(request)).await {
                Err(_) => return Err(Failure::Sent("no answer in time".into())),
                Ok(Ok(response)) => return self.finish(connection, response, limit).await,
                Ok(Err(mut failed)) => match failed.take_message() {
                    // The service closed the idle connection before the request was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Sent(failed.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect().await?;
        match timeout(limit, connection.send_request(request)).await {
            Err(_) => Err(Failure::Sent("no answer in time".into())),
            Ok(Ok(response)) => self.finish(connection, response, limit).await,
            Ok(Err(error)) => Err(Failure::Sent(error.to_string())),
        }
    }

    fn request(&self, body: Bytes) -> std::result::Result<Request<Full<Bytes>>, Failure> {
        Request::post(PATH)
            .header(header::HOST, self.options.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Failure::NotSent(e.to_string()))
    }

    async fn connect(&self) -> std::result::Result<Connection, Failure> {
        let limit = self.options.connect_timeout;
        let stream = match timeout(limit, TcpStream::connect(self.options.address)).await {
            Err(_) => return Err(Failure::NotSent("no connection in time".into())),
            Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
            Ok(Ok(stream)) => stream,
        };
        let not_sent = |e: &dyn ToString| Failure::NotSent(e.to_string());
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|e| not_sent(&e))?;
        tokio::spawn(async move {
            // The failure of a connection reaches the call that waits on it.
            drop(connection.await);
        });
        Ok(sender)
    }

    async fn finish(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        limit: Duration,
    ) -> std::result::Result<(StatusCode, Bytes), Failure> {
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        match timeout(limit, body).await {
            Err(_) => Err(Failure::Sent("answer cut off".into())),
            Ok(Err(error)) => Err(Failure::Sent(error.to_string())),
            Ok(Ok(body)) => {
                self.put_idle(connection);
                Ok((status, body.to_bytes()))
            }
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !connection.is_closed());
        let ready = idle.iter().position(SendRequest::is_ready)?;
        Some(idle.swap_remove(ready))
    }

    fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE && !connection.is_closed() {
            idle.push(connection);
        }
    }
}

/// Returns the error of a call without an answer.
fn lost(call: &Call, detail: &str) -> Error {
    if call.operation().is_write() {
        Error::outcome_unknown(&detail)
    } else {
        Error::unavailable(&detail)
    }
}

fn read_error(call: &Call, status: StatusCode, body: &[u8]) -> Error {
    match serde_json::from_slice(body) {
        Ok(error) => error,
        Err(_) if status.is_client_error() => Error::refused(&status),
        Err(_) => lost(call, &format!("status {status}")),
    }
}

fn unexpected(answer: &Answer) -> Error {
    Error::outcome_unknown(&format!("unexpected answer: {answer:?}"))
}

fn unexpected_read(answer: &Answer) -> Error {
    Error::unavailable(&format!("unexpected answer: {answer:?}"))
}

impl Store for HttpStore {
    async fn get(&self, key: &StoreKey) -> Result<Option<Entry>> {
        let key = key.clone();
        match self.call(Call::Get { key }).await? {
            Answer::Entry(entry) => Ok(entry),
            other => Err(unexpected_read(&other)),
        }
    }

    async fn put(&self, put: Put) -> Result<Version> {
        match self.call(Call::Put(put)).await? {
            Answer::Written(version) => Ok(version),
            other => Err(unexpected(&other)),
        }
    }

    async fn delete(&self, key: &StoreKey, version: Version) -> Result<()> {
        let key = key.clone();
        match self.call(Call::Delete { key, version }).await? {
            Answer::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Listing> {
        let prefix = prefix.clone();
        match self.call(Call::List { prefix }).await? {
            Answer::Listing(listing) => Ok(listing),
            other => Err(unexpected_read(&other)),
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        match self.call(Call::Grant { ttl }).await? {
            Answer::Granted(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        match self.call(Call::Renew { lease }).await? {
            Answer::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    async fn release(&self, lease: LeaseId) -> Result<()> {
        match self.call(Call::Release { lease }).await? {
            Answer::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    async fn watch(&self, prefix: &StoreKey, after: Version, wait: Duration) -> Result<Watched> {
        let prefix = prefix.clone();
        let call = Call::Watch {
            prefix,
            after,
            wait,
        };
        match self.call(call).await? {
            Answer::Watched(watched) => Ok(watched),
            other => Err(unexpected_read(&other)),
        }
    }
}
