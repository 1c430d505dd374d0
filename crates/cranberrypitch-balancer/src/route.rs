//! The routing decision for one datagram from a caller.

use std::net::SocketAddrV4;

use cranberrypitch_core::token::{TOKEN_LEN_BYTES, TokenKeys};
use cranberrypitch_core::{RoutingToken, ServiceTag};
use cranberrypitch_net::events::DropReason;

const LONG_HEADER_BIT: u8 = 0x80;
const PACKET_TYPE_MASK: u8 = 0x30;
const QUIC_V1: u32 = 1;
const MAX_ID_LEN_BYTES: usize = 20;

/// The length below which a server discards the first datagram of a connection (RFC 9000, section
/// 14.1).
const MIN_INITIAL_LEN_BYTES: usize = 1200;

/// The minimum length of the connection id that a client chooses for its first packet (RFC 9000,
/// section 7.2).
const MIN_INITIAL_ID_LEN_BYTES: usize = 8;

/// The route of a datagram from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// To the agent that issued the connection id.
    Agent {
        /// The agent's tunnel address.
        agent: SocketAddrV4,
        /// The service in the connection id.
        service: ServiceTag,
        /// The low 16 bits of the agent's incarnation.
        incarnation_low: u16,
    },
    /// To a target that placement has to select: the datagram is the first packet of a flow.
    NewFlow {
        /// The connection id that the caller chose.
        connection_id: &'a [u8],
    },
}

/// Determines the route of a datagram from its connection id. Fails with the reason to drop it.
pub fn route<'a>(datagram: &'a [u8], keys: &TokenKeys) -> Result<Route<'a>, DropReason> {
    let header = QuicHeader::parse(datagram)?;
    if let Ok(token) = RoutingToken::decode(header.connection_id, keys) {
        return Ok(Route::Agent {
            agent: token.agent,
            service: token.service,
            incarnation_low: token.incarnation_low,
        });
    }
    if !header.is_initial {
        return Err(DropReason::InvalidToken);
    }
    if datagram.len() < MIN_INITIAL_LEN_BYTES
        || header.connection_id.len() < MIN_INITIAL_ID_LEN_BYTES
    {
        return Err(DropReason::ShortInitial);
    }
    Ok(Route::NewFlow {
        connection_id: header.connection_id,
    })
}

struct QuicHeader<'a> {
    connection_id: &'a [u8],
    is_initial: bool,
}

impl<'a> QuicHeader<'a> {
    fn parse(datagram: &'a [u8]) -> Result<Self, DropReason> {
        let (&first, rest) = datagram.split_first().ok_or(DropReason::Malformed)?;
        if first & LONG_HEADER_BIT == 0 {
            let connection_id = rest.get(..TOKEN_LEN_BYTES).ok_or(DropReason::Malformed)?;
            return Ok(Self {
                connection_id,
                is_initial: false,
            });
        }
        let (version, rest) = rest.split_first_chunk().ok_or(DropReason::Malformed)?;
        if u32::from_be_bytes(*version) != QUIC_V1 {
            return Err(DropReason::UnknownVersion);
        }
        let (&id_len, rest) = rest.split_first().ok_or(DropReason::Malformed)?;
        let id_len = usize::from(id_len);
        if id_len > MAX_ID_LEN_BYTES {
            return Err(DropReason::Malformed);
        }
        let connection_id = rest.get(..id_len).ok_or(DropReason::Malformed)?;
        Ok(Self {
            connection_id,
            is_initial: first & PACKET_TYPE_MASK == 0,
        })
    }
}
