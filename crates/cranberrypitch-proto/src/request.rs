//! The frames of a request between caller and agent, on one bidirectional QUIC stream.
//!
//! Each frame is a four-byte length in network byte order, followed by CBOR. A body follows its head
//! without a frame; the head contains the length of the body.

use bytes::Bytes;
use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::token::TOKEN_LEN_BYTES;
use cranberrypitch_core::{ByteSize, OrganisationId, Outcome, RequestClass};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

use crate::cbor;
use crate::errors::{Error, Result};

/// The length of a frame's length prefix.
pub const PREFIX_LEN_BYTES: usize = 4;

/// The maximum length of a frame, without its prefix.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// The ALPN protocol name of the connections between callers and agents.
pub const ALPN: &[u8] = b"cranberrypitch/1";

/// The first frame of a request, which describes it. The body follows.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// The class of the request.
    pub class: RequestClass,
    /// The organisation of the caller.
    #[serde(rename = "tenant")]
    pub organisation: OrganisationId,
    /// The time within which the request must start after its arrival, in milliseconds on the wire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The ticket of an order; none for other classes.
    pub ticket: Option<Ticket>,
    /// The serial number of the reservation from a redirect; none for a request without redirect.
    pub reservation_serial: Option<u64>,
    /// The sequence number of the first requested reading of a feed; none starts with the newest.
    pub resume_from: Option<u64>,
    /// The length of the body that follows.
    pub body_len: ByteSize,
}

/// The first frame of a caller on a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerFrame {
    /// Requests a new order ticket.
    IssueTicket,
    /// Requests the outcome of an order without running it.
    QueryOrder(Ticket),
    /// Starts a request; its body follows.
    Request(RequestHead),
}

/// An order ticket, with a connection id that is routed to the agent that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedTicket {
    /// The ticket.
    pub ticket: Ticket,
    /// The connection id for later queries of the order.
    pub token: [u8; TOKEN_LEN_BYTES],
}

/// A frame of an agent on a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentFrame {
    /// A new ticket.
    Ticket(IssuedTicket),
    /// The outcome of a request; the body follows.
    Response {
        /// The outcome.
        outcome: Outcome,
        /// The length of the body that follows.
        body_len: ByteSize,
    },
    /// The feed is open.
    FeedOpen {
        /// The sequence number of the first reading.
        first_sequence: u64,
    },
    /// A reading of a feed.
    Reading {
        /// The sequence number, which grows by one with each reading.
        sequence: u64,
        /// The content of the reading.
        payload: Bytes,
    },
    /// The target is draining: the caller opens the feed at another agent and then closes this
    /// one.
    #[serde(rename = "move")]
    GoAway,
    /// The feed is complete; no agent has further readings.
    FeedEnd {
        /// The sequence number after that of the last reading.
        next_sequence: u64,
    },
}

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// Returns [`Error::TooLong`] for a frame over [`MAX_FRAME_BYTES`].
pub fn encode_frame<T: Serialize>(frame: &T) -> Result<Vec<u8>> {
    let body = cbor::encode("frame", frame)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong {
            len_bytes: body.len(),
            limit_bytes: MAX_FRAME_BYTES,
        });
    }
    let prefix = u32::try_from(body.len()).map_err(|e| Error::malformed("frame", &e))?;
    let mut bytes = prefix.to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Returns the length of a frame from its prefix.
///
/// # Errors
///
/// Returns [`Error::TooLong`] for a length over [`MAX_FRAME_BYTES`].
pub fn frame_len(prefix: [u8; PREFIX_LEN_BYTES]) -> Result<usize> {
    let len_bytes = u32::from_be_bytes(prefix) as usize;
    if len_bytes > MAX_FRAME_BYTES {
        return Err(Error::TooLong {
            len_bytes,
            limit_bytes: MAX_FRAME_BYTES,
        });
    }
    Ok(len_bytes)
}

/// Decodes a frame without its length prefix.
///
/// # Errors
///
/// Returns an error if the frame is malformed or longer than [`MAX_FRAME_BYTES`].
pub fn decode_frame<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    cbor::decode("frame", body, MAX_FRAME_BYTES)
}
