//! Messages between agents of one service.

use std::time::Duration;

use cranberrypitch_core::Reservation;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::cbor;
use crate::errors::Result;

/// The maximum length of a message; with the tunnel header it fits well into one datagram.
pub const MAX_PEER_MESSAGE_BYTES: usize = 192;

/// A message of an agent to a peer about waiting requests and free slots.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender has waiting requests that could run at the peer.
    #[serde(rename = "w")]
    WaitingRequests {
        /// The number of requests that may move to the peer.
        #[serde(rename = "c")]
        count: u32,
        /// The wait of the oldest of them so far, in milliseconds on the wire.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "o")]
        oldest_wait: Duration,
    },
    /// The sender has reserved a slot for one request of the peer.
    #[serde(rename = "o")]
    Offer(Reservation),
    /// The sender does not need the slot that the peer offered.
    #[serde(rename = "d")]
    Decline {
        /// The serial number of the reservation.
        #[serde(rename = "n")]
        serial: u64,
    },
}

impl PeerMessage {
    /// Encodes the message as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("peer message", self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed or longer than [`MAX_PEER_MESSAGE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("peer message", bytes, MAX_PEER_MESSAGE_BYTES)
    }
}
