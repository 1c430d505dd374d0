//! The header of the tunnel datagrams between balancers and agents, between agents, and between
//! balancers.
//!
//! A keyed check value protects the header. Numbers are big-endian.

use std::net::{Ipv4Addr, SocketAddrV4};

use cranberrypitch_core::token::TokenKeys;
use cranberrypitch_core::{KeyGeneration, ServiceTag};

use crate::errors::{Error, Result};

/// The length of the header.
pub const HEADER_LEN_BYTES: usize = 32;

const MAGIC: u8 = 0xc7;
const FORMAT_VERSION: u8 = 1;
/// The length of the header fields before the check value.
const AUTHENTICATED_LEN_BYTES: usize = 24;

/// The kind of a tunnel datagram's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum DatagramKind {
    /// A QUIC datagram from a caller to an agent.
    Forward = 1,
    /// A QUIC datagram from an agent to a caller.
    Return = 2,
    /// An agent's load report to a balancer.
    Report = 3,
    /// A balancer's answer to a report, which is also its heartbeat.
    ReportAck = 4,
    /// A message between agents of one service.
    Peer = 5,
    /// A balancer's notice that it is leaving.
    Goodbye = 6,
    /// The first packet of a connection that a balancer forwards to another balancer, which has the
    /// targets of the service.
    ForwardFirstPacket = 7,
    /// The first packet of a connection that an agent refuses on behalf of a balancer, because all targets
    /// of the service are in evacuated failure domains.
    RefuseFirstPacket = 8,
}

impl DatagramKind {
    fn try_new(kind: u8) -> Result<Self> {
        Ok(match kind {
            1 => Self::Forward,
            2 => Self::Return,
            3 => Self::Report,
            4 => Self::ReportAck,
            5 => Self::Peer,
            6 => Self::Goodbye,
            7 => Self::ForwardFirstPacket,
            8 => Self::RefuseFirstPacket,
            _ => return Err(Error::UnknownKind { kind }),
        })
    }

    /// Returns whether the payload is QUIC, which is authenticated end to end. The check value of
    /// such a datagram covers only the header, otherwise header and payload.
    const fn carries_quic(self) -> bool {
        matches!(
            self,
            Self::Forward | Self::Return | Self::ForwardFirstPacket | Self::RefuseFirstPacket
        )
    }
}

/// The header of a tunnel datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The kind of the payload.
    pub kind: DatagramKind,
    /// The tag of the service that the datagram belongs to.
    pub service: ServiceTag,
    /// The address that the caller sends to.
    pub service_address: SocketAddrV4,
    /// The caller's address.
    pub caller: SocketAddrV4,
    /// The low bits of the incarnation of the agent that the datagram is meant for or comes from.
    pub incarnation_low: u16,
}

impl Header {
    /// Returns the header of a message without a caller: both addresses are 0.0.0.0:0.
    pub const fn without_caller(
        kind: DatagramKind,
        service: ServiceTag,
        incarnation_low: u16,
    ) -> Self {
        const UNSPECIFIED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        Self {
            kind,
            service,
            service_address: UNSPECIFIED,
            caller: UNSPECIFIED,
            incarnation_low,
        }
    }

    /// Replaces the content of `datagram` by the header and the payload.
    pub fn encode(&self, payload: &[u8], keys: &TokenKeys, datagram: &mut Vec<u8>) {
        datagram.clear();
        datagram.resize(HEADER_LEN_BYTES, 0);
        datagram.extend_from_slice(payload);
        self.write(keys, datagram);
    }

    /// Writes the header over the first [`HEADER_LEN_BYTES`] of `datagram`. The payload must already
    /// follow them.
    ///
    /// # Panics
    ///
    /// Panics when `datagram` is shorter than the header.
    pub fn write(&self, keys: &TokenKeys, datagram: &mut [u8]) {
        let key = keys.current();
        let (header_bytes, payload) = datagram.split_at_mut(HEADER_LEN_BYTES);
        header_bytes[0] = MAGIC;
        header_bytes[1] = (FORMAT_VERSION << 4) | self.kind as u8;
        header_bytes[2] = key.generation().get();
        header_bytes[3] = 0;
        header_bytes[4..8].copy_from_slice(&self.service.get().to_be_bytes());
        write_address(&mut header_bytes[8..14], self.service_address);
        write_address(&mut header_bytes[14..20], self.caller);
        header_bytes[20..22].copy_from_slice(&self.incarnation_low.to_be_bytes());
        header_bytes[22..24].fill(0);
        let check = check_value(
            self.kind,
            key,
            &header_bytes[..AUTHENTICATED_LEN_BYTES],
            payload,
        );
        header_bytes[AUTHENTICATED_LEN_BYTES..].copy_from_slice(&check.to_be_bytes());
    }

    /// Verifies a datagram and splits it into header and payload.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is truncated, has an unknown format, kind or key generation,
    /// or its check value does not verify.
    pub fn decode<'a>(datagram: &'a [u8], keys: &TokenKeys) -> Result<(Self, &'a [u8])> {
        let Some((header_bytes, payload)) = datagram.split_first_chunk::<HEADER_LEN_BYTES>() else {
            return Err(Error::Truncated {
                len_bytes: datagram.len(),
            });
        };
        if header_bytes[0] != MAGIC || header_bytes[1] >> 4 != FORMAT_VERSION {
            return Err(Error::UnknownFormat);
        }
        let kind = DatagramKind::try_new(header_bytes[1] & 0x0f)?;
        let key = keys
            .by_generation(KeyGeneration::new(header_bytes[2]))
            .map_err(Error::Authentication)?;
        let check = check_value(kind, key, &header_bytes[..AUTHENTICATED_LEN_BYTES], payload);
        if check.to_be_bytes() != header_bytes[AUTHENTICATED_LEN_BYTES..] {
            return Err(Error::Authentication(
                cranberrypitch_core::Error::CheckMismatch,
            ));
        }
        let header = Self {
            kind,
            service: ServiceTag::new(u32::from_be_bytes([
                header_bytes[4],
                header_bytes[5],
                header_bytes[6],
                header_bytes[7],
            ])),
            service_address: read_address(&header_bytes[8..14]),
            caller: read_address(&header_bytes[14..20]),
            incarnation_low: u16::from_be_bytes([header_bytes[20], header_bytes[21]]),
        };
        Ok((header, payload))
    }
}

fn check_value(
    kind: DatagramKind,
    key: &cranberrypitch_core::token::CheckKey,
    header_bytes: &[u8],
    payload: &[u8],
) -> u64 {
    if kind.carries_quic() {
        return key.check_value(header_bytes);
    }
    let mut authenticated = Vec::with_capacity(header_bytes.len() + payload.len());
    authenticated.extend_from_slice(header_bytes);
    authenticated.extend_from_slice(payload);
    key.check_value(&authenticated)
}

fn write_address(field: &mut [u8], address: SocketAddrV4) {
    field[..4].copy_from_slice(&address.ip().octets());
    field[4..6].copy_from_slice(&address.port().to_be_bytes());
}

fn read_address(field: &[u8]) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(field[0], field[1], field[2], field[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([field[4], field[5]]))
}
