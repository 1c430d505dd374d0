//! Order tickets, which make an order run at most once.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// A single-use permission to run one order at one incarnation of one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Where the issuing agent receives tunnel datagrams.
    pub agent: SocketAddrV4,
    /// The incarnation of the issuing agent.
    pub incarnation: Incarnation,
    /// The number of the ticket at its agent.
    pub serial: u64,
    /// The check value over the other fields.
    pub check: u64,
}
