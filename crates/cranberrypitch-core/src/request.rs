//! Classes of traffic and outcomes of requests.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

/// The class of a request, which decides what it takes and whether it may be repeated.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// A long-lived stream of readings; takes a connection and no slot.
    #[display("feed")]
    Feed,
    /// An order that runs at most once; takes a slot while it runs.
    #[display("order")]
    Order,
    /// A file; takes a slot while it runs.
    #[display("upload")]
    Upload,
}

impl RequestClass {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Feed, Self::Order, Self::Upload];

    /// Returns whether a request of this class takes a slot while it runs.
    pub const fn takes_slot(self) -> bool {
        !matches!(self, Self::Feed)
    }
}

impl std::str::FromStr for RequestClass {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "feed" => Ok(Self::Feed),
            "order" => Ok(Self::Order),
            "upload" => Ok(Self::Upload),
            _ => Err(Error::parse("class", text, "feed, order or upload")),
        }
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum NotRunReason {
    /// The target is draining.
    #[display("draining")]
    Draining,
    /// The organisation's queue is full.
    #[display("queue full")]
    QueueFull,
    /// The request can't start within its deadline.
    #[display("deadline")]
    Deadline,
    /// The backend server holds as many connections as it may.
    #[display("connection limit")]
    ConnectionLimit,
    /// The backend server shed the request, or could not be reached, before it started.
    #[display("backend server unavailable")]
    BackendUnavailable,
    /// The request names another service than the one served here.
    #[display("wrong service")]
    WrongService,
    /// The request is malformed, or its class is not served.
    #[display("invalid request")]
    Invalid,
    /// The caller withdrew the request while it waited.
    #[display("cancelled")]
    Cancelled,
    /// The order has no valid ticket.
    #[display("no valid ticket")]
    InvalidTicket,
}

/// A slot that a peer reserved for a request that has not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// Where the peer's agent receives tunnel datagrams.
    pub agent: SocketAddrV4,
    /// The connection id that leads to the peer.
    pub token: [u8; crate::token::TOKEN_LEN_BYTES],
    /// The number of the reservation at the peer.
    pub serial: u64,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Outcome {
    /// It ran and this is its answer.
    Done,
    /// It was not run, and no byte of it reached the backend server.
    NotRun(NotRunReason),
    /// It was not run; a peer holds a free slot for it.
    Redirect(Reservation),
    /// It reached the backend server and failed there.
    Failed,
    /// The same order is running.
    StillRunning,
    /// It can't be told whether it ran; it is not run again.
    Unknown,
}

impl Outcome {
    /// Returns whether this outcome promises that the request was not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Redirect(_))
    }
}
