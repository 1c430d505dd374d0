//! The client of the store service, over HTTP/1.1 with JSON bodies.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};

use crate::http_client::{HttpClient, HttpClientOptions, RequestError};
use crate::store::errors::{Error, Result};
use crate::store::wire::{Answer, Call, EPOCH_HEADER, MAX_BODY_BYTES, PATH};
use crate::store::{
    Entry, Epoch, EpochTracker, LeaseId, Listing, Put, Store, StoreKey, Version, WatchOutcome,
};

/// The time beyond its wait time within which the answer to a watch must arrive.
const WATCH_ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// The options of an [`HttpStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStoreOptions {
    /// The address of the service.
    pub address: SocketAddrV4,
    /// The time limit for opening a TCP connection.
    pub connect_timeout: Duration,
    /// The time limit for the answer to a call. The service usually answers within milliseconds.
    pub call_timeout: Duration,
}

impl HttpStoreOptions {
    /// Returns options with the default timeouts: 500 ms to connect and 2 s per call.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
        }
    }
}

/// A client of the store service at an address.
#[derive(Debug)]
pub struct HttpStore {
    options: HttpStoreOptions,
    client: HttpClient,
    epochs: EpochTracker,
}

impl HttpStore {
    /// Returns a client, which opens its first connection with the first call.
    pub fn new(options: HttpStoreOptions) -> Self {
        let client = HttpClient::new(HttpClientOptions {
            address: options.address,
            connect_timeout: options.connect_timeout,
            max_body_bytes: MAX_BODY_BYTES,
        });
        Self {
            options,
            client,
            epochs: EpochTracker::default(),
        }
    }

    async fn call(&self, call: Call) -> Result<Answer> {
        let limit = match &call {
            Call::Watch { wait, .. } => *wait + WATCH_ANSWER_MARGIN,
            _ => self.options.call_timeout,
        };
        let body = serde_json::to_vec(&call).map_err(|e| Error::refused(&e))?;
        let request = self.request(body.into()).map_err(|e| Error::refused(&e))?;
        match self.client.exchange(request, limit).await {
            Ok(response) => {
                let epoch = Epoch::from_header(&response.headers, EPOCH_HEADER)
                    .map_err(|detail| without_answer(&call, &detail))?;
                self.epochs.observe(epoch.unwrap_or_default());
                match response.status {
                    StatusCode::OK => Answer::decode(&response.body)
                        .map_err(|e| without_answer(&call, &format!("malformed answer: {e}"))),
                    status => Err(decode_error(&call, status, &response.body)),
                }
            }
            Err(RequestError::NotSent(detail)) => Err(Error::unavailable(&detail)),
            Err(RequestError::MaybeSent(detail)) => Err(without_answer(&call, &detail)),
        }
    }

    fn request(
        &self,
        body: Bytes,
    ) -> std::result::Result<Request<Full<Bytes>>, hyper::http::Error> {
        Request::post(PATH)
            .header(header::HOST, self.options.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
    }
}

/// Returns the error of a call without a usable answer.
fn without_answer(call: &Call, detail: &str) -> Error {
    Error::without_answer(call.operation().is_write(), &detail)
}

fn decode_error(call: &Call, status: StatusCode, body: &[u8]) -> Error {
    match serde_json::from_slice(body) {
        Ok(error) => error,
        Err(_) if status.is_client_error() => Error::refused(&status),
        Err(_) => without_answer(call, &format!("status {status}")),
    }
}

fn unexpected_answer_to_write(answer: &Answer) -> Error {
    Error::outcome_unknown(&format!("unexpected answer: {answer:?}"))
}

fn unexpected_answer_to_read(answer: &Answer) -> Error {
    Error::unavailable(&format!("unexpected answer: {answer:?}"))
}

impl Store for HttpStore {
    fn epoch(&self) -> Option<Epoch> {
        self.epochs.newest()
    }

    async fn get(&self, key: &StoreKey) -> Result<Option<Entry>> {
        let key = key.clone();
        match self.call(Call::Get { key }).await? {
            Answer::Entry(entry) => Ok(entry),
            other => Err(unexpected_answer_to_read(&other)),
        }
    }

    async fn put(&self, put: Put) -> Result<Version> {
        match self.call(Call::Put(put)).await? {
            Answer::Written(version) => Ok(version),
            other => Err(unexpected_answer_to_write(&other)),
        }
    }

    async fn delete(&self, key: &StoreKey, version: Version) -> Result<()> {
        let key = key.clone();
        match self.call(Call::Delete { key, version }).await? {
            Answer::Done => Ok(()),
            other => Err(unexpected_answer_to_write(&other)),
        }
    }

    async fn list(&self, prefix: &StoreKey) -> Result<Listing> {
        let prefix = prefix.clone();
        match self.call(Call::List { prefix }).await? {
            Answer::Listing(listing) => Ok(listing),
            other => Err(unexpected_answer_to_read(&other)),
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        match self.call(Call::Grant { ttl }).await? {
            Answer::Granted(lease) => Ok(lease),
            other => Err(unexpected_answer_to_write(&other)),
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        match self.call(Call::Renew { lease }).await? {
            Answer::Done => Ok(()),
            other => Err(unexpected_answer_to_write(&other)),
        }
    }

    async fn release(&self, lease: LeaseId) -> Result<()> {
        match self.call(Call::Release { lease }).await? {
            Answer::Done => Ok(()),
            other => Err(unexpected_answer_to_write(&other)),
        }
    }

    async fn watch(
        &self,
        prefix: &StoreKey,
        after: Version,
        wait: Duration,
    ) -> Result<WatchOutcome> {
        let prefix = prefix.clone();
        let call = Call::Watch {
            prefix,
            after,
            wait,
        };
        match self.call(call).await? {
            Answer::Watched(watched) => Ok(watched),
            other => Err(unexpected_answer_to_read(&other)),
        }
    }
}
