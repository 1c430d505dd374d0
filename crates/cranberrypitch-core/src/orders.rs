//! Tickets, which ensure that each order runs at most once.

mod ticket_table;

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

pub use self::ticket_table::{StoredAnswer, TicketDecision, TicketTable, TicketTableOptions};

use crate::ids::Incarnation;
use crate::token::TokenKeys;

/// The domain separation label: it makes check values of tickets differ from those of other content
/// under the same key.
const CONTENT_LABEL: [u8; 6] = *b"ticket";
const CONTENT_LEN_BYTES: usize = 28;

/// A single-use token that allows one order to run at one incarnation of one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The address at which the issuing agent receives tunnel datagrams.
    pub agent: SocketAddrV4,
    /// The incarnation of the issuing agent.
    pub incarnation: Incarnation,
    /// The serial number of the ticket, unique within the incarnation.
    pub serial: u64,
    /// The check value of the other fields.
    pub check: u64,
}

impl Ticket {
    /// Returns a ticket whose check value is computed with the current key.
    pub fn sign(
        agent: SocketAddrV4,
        incarnation: Incarnation,
        serial: u64,
        keys: &TokenKeys,
    ) -> Self {
        let mut ticket = Self {
            agent,
            incarnation,
            serial,
            check: 0,
        };
        ticket.check = keys.current().check_value(&ticket.content());
        ticket
    }

    /// Returns whether the check value is valid under one of the keys.
    pub fn verifies(&self, keys: &TokenKeys) -> bool {
        keys.verifies(&self.content(), self.check)
    }

    fn content(&self) -> [u8; CONTENT_LEN_BYTES] {
        let mut content = [0; CONTENT_LEN_BYTES];
        content[..6].copy_from_slice(&CONTENT_LABEL);
        content[6..10].copy_from_slice(&self.agent.ip().octets());
        content[10..12].copy_from_slice(&self.agent.port().to_be_bytes());
        content[12..20].copy_from_slice(&self.incarnation.get().to_be_bytes());
        content[20..].copy_from_slice(&self.serial.to_be_bytes());
        content
    }
}
