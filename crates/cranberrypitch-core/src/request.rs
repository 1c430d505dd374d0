//! Classes and outcomes of requests.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

/// The class of a request, which determines the resources that it needs and whether it may be
/// retried.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// A long-lived stream of readings. It needs a connection and no slot.
    #[display("feed")]
    Feed,
    /// An order, which runs at most once. It occupies a slot while it runs.
    #[display("order")]
    Order,
    /// The transfer of a file to the service. It occupies a slot while it runs.
    #[display("upload")]
    Upload,
}

impl RequestClass {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Feed, Self::Order, Self::Upload];

    /// Returns whether a request of this class occupies a slot while it runs.
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

/// The reason why a request was not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum NotRunReason {
    /// The target is draining.
    #[display("draining")]
    Draining,
    /// The queue of the organisation or the whole queue is full.
    #[display("queue full")]
    QueueFull,
    /// The request can't be started before its deadline.
    #[display("deadline")]
    Deadline,
    /// The limit of connections or feeds of the backend server is reached.
    #[display("connection limit")]
    ConnectionLimit,
    /// The backend server shed the request or could not be reached, so the request was not started.
    #[display("backend server unavailable")]
    BackendUnavailable,
    /// The request is for another service than that of the target.
    #[display("wrong service")]
    WrongService,
    /// The request is malformed, or its class is not served.
    #[display("invalid request")]
    Invalid,
    /// The caller cancelled the request while it was waiting.
    #[display("cancelled")]
    Cancelled,
    /// The order has no valid ticket.
    #[display("no valid ticket")]
    InvalidTicket,
}

/// A slot that a peer reserved for a request that has not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// The address at which the peer receives tunnel datagrams.
    pub agent: SocketAddrV4,
    /// The connection id that routes packets to the peer.
    pub token: [u8; crate::token::TOKEN_LEN_BYTES],
    /// The serial number of the reservation at the peer.
    pub serial: u64,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Outcome {
    /// The request was run and answered.
    Done,
    /// The request was not run, and no byte of it reached the backend server.
    NotRun(NotRunReason),
    /// The request was not run here; a peer has reserved a slot for it.
    Redirect(Reservation),
    /// The request reached the backend server and failed there.
    Failed,
    /// An earlier copy of the same order is waiting or running.
    StillRunning,
    /// Whether the request was run is unknown. It is not run again.
    Unknown,
}

impl Outcome {
    /// Returns whether this outcome guarantees that the request was not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Redirect(_))
    }
}
