//! Calls to a store over HTTP/1.1, whatever the format of their bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::http_client::{HttpClient, HttpClientOptions, RequestError};
use crate::store::epoch::{Epoch, EpochTracker};
use crate::store::errors::{Error, Result};

/// What a call may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Nothing.
    Read,
    /// Keys.
    Write,
    /// A lease, and the keys that end with it.
    Lease,
}

impl CallKind {
    /// Returns the error of a call that was sent but got no valid response. The outcome of a call that
    /// may change something is unknown.
    pub fn error_without_response(self, detail: &impl ToString) -> Error {
        Error::without_answer(self != Self::Read, detail)
    }

    /// Returns the error of a call whose response was not received whole.
    fn error_of_incomplete_response(self, detail: Box<str>) -> Error {
        match self {
            Self::Read => Error::IncompleteResponse { detail },
            Self::Write | Self::Lease => Error::outcome_unknown(&detail),
        }
    }
}

/// The options of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// What the call may change.
    pub kind: CallKind,
    /// The epoch in which the store issued the versions and leases of the call, if it has any.
    pub issued_in: Option<Epoch>,
    /// The time limit for the response.
    pub timeout: Duration,
}

/// A response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
    /// The epoch in which the store issued the versions and leases of the body.
    pub epoch: Epoch,
}

/// An HTTP client that follows the epoch of a store.
#[derive(Debug)]
pub struct StoreClient {
    http: HttpClient,
    epoch_header: &'static str,
    epochs: EpochTracker,
}

impl StoreClient {
    /// Returns a client, which connects with the first call. Responses carry the epoch of the store in
    /// `epoch_header`; one without it is taken for one in the newest known epoch, or in epoch 0.
    pub fn new(options: HttpClientOptions, epoch_header: &'static str) -> Self {
        Self {
            http: HttpClient::new(options),
            epoch_header,
            epochs: EpochTracker::default(),
        }
    }

    /// Returns the newest epoch in the responses, or nothing before the first one.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epochs.newest()
    }

    /// Sends a call and returns the response, whatever its status.
    ///
    /// Fails with [`Error::EpochEnded`] if the versions and leases of the call are of an epoch that is
    /// over. If only the response shows it, a write with a success status has an unknown outcome: the
    /// store may have applied it to an entry with the same version in the present epoch.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        options: CallOptions,
    ) -> Result<StoreResponse> {
        let CallOptions {
            kind,
            issued_in,
            timeout,
        } = options;
        self.epochs.check(issued_in)?;
        let response = match self.http.exchange(request, timeout).await {
            Ok(response) => response,
            Err(RequestError::NotSent(detail)) => return Err(Error::unavailable(&detail)),
            Err(RequestError::MaybeSent(detail)) => {
                return Err(kind.error_without_response(&detail));
            }
            Err(RequestError::IncompleteResponse(detail)) => {
                return Err(kind.error_of_incomplete_response(detail));
            }
        };
        let epoch = Epoch::from_header(&response.headers, self.epoch_header)
            .map_err(|detail| kind.error_without_response(&detail))?
            .or_else(|| self.epochs.newest())
            .unwrap_or_default();
        self.epochs.observe(epoch);
        let is_written = kind == CallKind::Write && response.status.is_success();
        match self.epochs.check(issued_in) {
            Err(ended) if is_written => Err(Error::outcome_unknown(&ended)),
            Err(ended) => Err(ended.into()),
            Ok(()) => Ok(StoreResponse {
                status: response.status,
                body: response.body,
                epoch,
            }),
        }
    }
}
