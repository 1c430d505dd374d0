//! The client of the store service, over HTTP/1.1 with JSON bodies.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};

use crate::http_client::HttpClientOptions;
use crate::store::client::{CallKind, CallOptions, StoreClient, StoreResponse};
use crate::store::errors::{Error, Result};
use crate::store::wire::{Answer, Call, EPOCH_HEADER, MAX_BODY_BYTES, PATH};
use crate::store::{
    Entry, Epoch, LeaseId, Listing, Put, SetEpoch, Store, StoreKey, Version, WatchOutcome,
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
    client: StoreClient,
}

impl HttpStore {
    /// Returns a client, which opens its first connection with the first call.
    pub fn new(options: HttpStoreOptions) -> Self {
        let client_options = HttpClientOptions {
            address: options.address,
            connect_timeout: options.connect_timeout,
            max_body_bytes: MAX_BODY_BYTES,
        };
        Self {
            options,
            client: StoreClient::new(client_options, EPOCH_HEADER),
        }
    }

    async fn call(&self, call: Call) -> Result<Answer> {
        let timeout = match &call {
            Call::Watch { wait, .. } => *wait + WATCH_ANSWER_MARGIN,
            _ => self.options.call_timeout,
        };
        let options = CallOptions {
            kind: call.kind(),
            issued_in: call.epoch(),
            timeout,
        };
        let body = serde_json::to_vec(&call).map_err(|e| Error::refused(&e))?;
        let request = self.request(body.into()).map_err(|e| Error::refused(&e))?;
        let response = self.client.call(request, options).await?;
        match response.status {
            StatusCode::OK => Answer::decode(&response.body)
                .map(|answer| answer.in_epoch(response.epoch))
                .map_err(|e| malformed_answer(options.kind, &e)),
            _ => Err(decode_error(options.kind, &response)),
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

fn malformed_answer(kind: CallKind, error: &serde_json::Error) -> Error {
    kind.error_without_response(&format!("malformed answer: {error}"))
}

fn decode_error(kind: CallKind, response: &StoreResponse) -> Error {
    let status = response.status;
    match serde_json::from_slice::<Error>(&response.body) {
        Ok(error) => error.in_epoch(response.epoch),
        Err(_) if status.is_client_error() => Error::refused(&status),
        Err(_) => kind.error_without_response(&format!("status {status}")),
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
        self.client.epoch()
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
        self.renew(lease).await?;
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
        match self.call(call).await {
            Ok(Answer::Watched(watched)) => Ok(watched),
            Ok(other) => Err(unexpected_answer_to_read(&other)),
            Err(Error::EpochEnded(_)) => Ok(WatchOutcome::Reset),
            Err(error) => Err(error),
        }
    }
}
