//! The routing decision for one datagram from a caller.

use std::net::SocketAddrV4;

use cranberrypitch_core::token::{TOKEN_LEN_BYTES, TokenKeys};
use cranberrypitch_core::{RoutingToken, ServiceTag};
use cranberrypitch_net::events::DropReason;

const LONG_HEADER_BIT: u8 = 0x80;
const PACKET_TYPE_MASK: u8 = 0x30;
const QUIC_V1: u32 = 1;
const MAX_ID_LEN_BYTES: usize = 20;

/// A server may ignore a first datagram that is shorter (RFC 9000, section 14.1).
const MIN_INITIAL_LEN_BYTES: usize = 1200;

/// A client-chosen id of a first packet is at least this long (RFC 9000, section 7.2).
const MIN_INITIAL_ID_LEN_BYTES: usize = 8;

/// Where a datagram goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// To the agent that issued the connection id.
    Agent {
        /// The agent's tunnel address.
        agent: SocketAddrV4,
        /// The service named by the connection id.
        service: ServiceTag,
        /// The low bits of the agent's incarnation.
        incarnation_low: u16,
    },
    /// To a target that placement picks: this is the first packet of a flow.
    NewFlow {
        /// The id that the caller chose.
        connection_id: &'a [u8],
    },
}

/// Decides the route of a datagram from its connection id alone.
pub fn route<'a>(datagram: &'a [u8], keys: &TokenKeys) -> Result<Route<'a>, DropReason> {
    let packet = PacketHead::parse(datagram)?;
    if let Ok(token) = RoutingToken::decode(packet.connection_id, keys) {
        return Ok(Route::Agent {
            agent: token.agent,
            service: token.service,
            incarnation_low: token.incarnation_low,
        });
    }
    if !packet.is_initial {
        return Err(DropReason::InvalidToken);
    }
    if datagram.len() < MIN_INITIAL_LEN_BYTES
        || packet.connection_id.len() < MIN_INITIAL_ID_LEN_BYTES
    {
        return Err(DropReason::ShortInitial);
    }
    Ok(Route::NewFlow {
        connection_id: packet.connection_id,
    })
}

struct PacketHead<'a> {
    connection_id: &'a [u8],
    is_initial: bool,
}

impl<'a> PacketHead<'a> {
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
