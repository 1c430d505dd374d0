//! The text form of an order ticket, by which a caller can query the outcome later.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use cranberrypitch_core::Incarnation;
use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::token::TOKEN_LEN_BYTES;
use cranberrypitch_proto::request::IssuedTicket;

use crate::errors::{Error, Result};

/// Identifies the format and its version.
const FORMAT_PREFIX: &str = "cp1";

/// A ticket with a text form: `cp1.AGENT.INCARNATION.SERIAL.CHECK.TOKEN`. `AGENT` consists of the
/// IPv4 address in eight hexadecimal digits, `-` and the decimal port; the others are hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketText(pub IssuedTicket);

impl fmt::Display for TicketText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let IssuedTicket { ticket, token } = &self.0;
        write!(
            f,
            "{FORMAT_PREFIX}.{:08x}-{}.{:x}.{:x}.{:016x}.",
            ticket.agent.ip().to_bits(),
            ticket.agent.port(),
            ticket.incarnation.get(),
            ticket.serial,
            ticket.check,
        )?;
        token.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for TicketText {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        parse(text).map(Self).ok_or(Error::InvalidTicket)
    }
}

fn parse(text: &str) -> Option<IssuedTicket> {
    let parts: Vec<_> = text.split('.').collect();
    let [FORMAT_PREFIX, agent, incarnation, serial, check, token] = parts[..] else {
        return None;
    };
    let (ip, port) = agent.split_once('-')?;
    let ip = u32::try_from(parse_hex(ip)?).ok()?;
    let ticket = Ticket {
        agent: SocketAddrV4::new(Ipv4Addr::from_bits(ip), port.parse().ok()?),
        incarnation: Incarnation::new(parse_hex(incarnation)?),
        serial: parse_hex(serial)?,
        check: parse_hex(check)?,
    };
    Some(IssuedTicket {
        ticket,
        token: parse_token(token)?,
    })
}

fn parse_token(text: &str) -> Option<[u8; TOKEN_LEN_BYTES]> {
    if text.len() != 2 * TOKEN_LEN_BYTES || !text.is_ascii() {
        return None;
    }
    let mut token = [0; TOKEN_LEN_BYTES];
    for (index, byte) in token.iter_mut().enumerate() {
        *byte = u8::try_from(parse_hex(&text[2 * index..2 * index + 2])?).ok()?;
    }
    Some(token)
}

/// Parses hexadecimal digits. Unlike the standard library, it rejects a sign.
fn parse_hex(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_digits)
}
