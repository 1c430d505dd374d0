//! Messages between agents of one service.

use std::time::Duration;

use cranberrypitch_core::Reservation;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::cbor;
use crate::errors::Result;

/// The longest message; with the tunnel header it is far below one datagram.
pub const MAX_PEER_MESSAGE_BYTES: usize = 192;

/// What an agent tells a peer about waiting requests and free slots.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests wait and could run at the peer.
    #[serde(rename = "w")]
    WaitingRequests {
        /// How many requests may move.
        #[serde(rename = "c")]
        count: u32,
        /// How long the oldest of them has waited.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "o")]
        oldest_wait: Duration,
    },
    /// A slot is reserved for one request of the peer.
    #[serde(rename = "o")]
    Offer(Reservation),
    /// An offered slot isn't needed.
    #[serde(rename = "d")]
    Decline {
        /// The number of the reservation.
        #[serde(rename = "n")]
        serial: u64,
    },
}

impl PeerMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("peer message", self)
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("peer message", bytes, MAX_PEER_MESSAGE_BYTES)
    }
}
