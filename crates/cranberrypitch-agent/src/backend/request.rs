//! What is asked of a backend server, and what it answers.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::OrganisationId;
use serde::{Deserialize, Serialize};

/// The id of a request, unique among all requests to one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendRequestId(u128);

impl BackendRequestId {
    /// Returns the id with this value.
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

/// What accompanies each request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id, which names the request when it is cancelled.
    pub id: BackendRequestId,
    /// The organisation that asks.
    pub organisation: OrganisationId,
    /// The time within which the request must start at the backend server.
    pub start_timeout: Duration,
    /// The time within which the whole answer must have arrived. For a feed it bounds the opening.
    pub response_timeout: Duration,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendResponse {
    /// The body.
    pub body: Bytes,
}

/// A reading of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The number of the reading; it grows by one.
    pub sequence: u64,
    /// The reading as the backend server sent it, without the line end.
    pub payload: Bytes,
}

/// The state that a backend server claims to be in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// It is in its cold start.
    Starting,
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Draining,
}

/// The load that a backend server claims to have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Open connections.
    pub connections: u32,
}

/// Where a request stood when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// It had not started and will not run.
    Withdrawn,
    /// It was running and has been stopped.
    Stopped,
    /// The backend server knows no such request, or it has ended.
    Absent,
}
