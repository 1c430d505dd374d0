//! Frames of a request between caller and agent, on one bidirectional QUIC stream.
//!
//! Each frame is a four-byte length in network byte order, then CBOR. A body follows its head
//! without a frame and has the length that the head states.

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

/// The length of the prefix that gives a frame's length.
pub const PREFIX_LEN_BYTES: usize = 4;

/// The longest frame, without its prefix.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// The ALPN protocol name that callers and agents agree on.
pub const ALPN: &[u8] = b"cranberrypitch/1";

/// The head of a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// The class.
    pub class: RequestClass,
    /// The organisation that asks.
    #[serde(rename = "tenant")]
    pub organisation: OrganisationId,
    /// The time within which the request must start, counted from its arrival.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The ticket of an order.
    pub ticket: Option<Ticket>,
    /// The reservation that a redirect named.
    pub reservation_serial: Option<u64>,
    /// The first reading wanted of a feed.
    pub resume_from: Option<u64>,
    /// The length of the body that follows.
    pub body_len: ByteSize,
}

/// What a caller sends first on a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerFrame {
    /// Asks for an order ticket.
    IssueTicket,
    /// Asks for the outcome of an order, and runs nothing.
    QueryOrder(Ticket),
    /// Sends a request.
    Request(RequestHead),
}

/// A ticket with the connection id that leads back to the agent that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedTicket {
    /// The ticket.
    pub ticket: Ticket,
    /// The connection id to ask again with.
    pub token: [u8; TOKEN_LEN_BYTES],
}

/// What an agent answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentFrame {
    /// A new ticket.
    Ticket(IssuedTicket),
    /// The end of a request; a body of this length follows.
    Response {
        /// How the request ended.
        outcome: Outcome,
        /// The length of the body that follows.
        body_len: ByteSize,
    },
    /// The feed is open and starts with this reading.
    FeedOpen {
        /// The number of the first reading.
        first_sequence: u64,
    },
    /// A reading of a feed.
    Reading {
        /// The number of the reading; it grows by one.
        sequence: u64,
        /// The reading.
        payload: Bytes,
    },
    /// The target is draining: the caller opens the feed at another agent and then closes this
    /// one.
    #[serde(rename = "move")]
    GoAway,
    /// The feed has ended as a whole.
    FeedEnd {
        /// The number that the next reading would have had.
        next_sequence: u64,
    },
}

/// Encodes a frame with its length prefix.
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

/// Returns the length of the frame behind a prefix.
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
pub fn decode_frame<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    cbor::decode("frame", body, MAX_FRAME_BYTES)
}
