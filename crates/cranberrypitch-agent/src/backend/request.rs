//! Requests to a backend server, and its responses.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::OrganisationId;
use serde::{Deserialize, Serialize};

/// The ID of a request, unique among all requests to one backend server. Its text form is 32
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendRequestId(u128);

impl BackendRequestId {
    /// Returns the ID with this value.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }
}

impl fmt::Display for BackendRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for BackendRequestId {
    type Err = cranberrypitch_core::Error;

    fn from_str(text: &str) -> cranberrypitch_core::Result<Self> {
        match u128::from_str_radix(text, 16) {
            Ok(value) if text.len() == 32 => Ok(Self(value)),
            _ => Err(cranberrypitch_core::Error::parse(
                "request id",
                text,
                "32 hexadecimal digits",
            )),
        }
    }
}

/// The metadata of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The ID, by which the request can be cancelled.
    pub id: BackendRequestId,
    /// The organisation of the caller.
    pub organisation: OrganisationId,
    /// The time within which the request must start at the backend server.
    pub start_timeout: Duration,
    /// The time within which the complete response must arrive. For a feed, it limits the opening.
    pub response_timeout: Duration,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendResponse {
    /// The body of the response.
    pub body: Bytes,
}

/// A reading of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The sequence number, which is one higher than that of the previous reading.
    pub sequence: u64,
    /// The JSON text of the reading without the line end.
    pub payload: Bytes,
}

/// The state that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// It is warming up after a cold start.
    Starting,
    /// It accepts requests.
    Ready,
    /// It accepts no new requests.
    Draining,
}

/// The load that a backend server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The number of open connections.
    pub connections: u32,
}

/// The effect of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// The request was waiting and will not run.
    Withdrawn,
    /// The request was running and has been stopped.
    Stopped,
    /// The request does not exist or has already ended.
    Absent,
}
