//! The text of an order ticket, with which a caller asks for the outcome later.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use cranberrypitch_core::Incarnation;
use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::token::TOKEN_LEN_BYTES;
use cranberrypitch_proto::request::IssuedTicket;

use crate::errors::{Error, Result};

/// Names the format, and its version.
const PREFIX: &str = "cp1";

/// A ticket as text: `cp1.AGENT.INCARNATION.SERIAL.CHECK.TOKEN`, where `AGENT` is the eight
/// hexadecimal digits of the IPv4 address, `-` and the port, and all others are hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketText(pub IssuedTicket);

impl fmt::Display for TicketText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let IssuedTicket { ticket, token } = &self.0;
        write!(
            f,
            "{PREFIX}.{:08x}-{}.{:x}.{:x}.{:016x}.",
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
    let [PREFIX, agent, incarnation, serial, check, token] = parts[..] else {
        return None;
    };
    let (ip, port) = agent.split_once('-')?;
    let ip = u32::try_from(hexadecimal(ip)?).ok()?;
    let ticket = Ticket {
        agent: SocketAddrV4::new(Ipv4Addr::from_bits(ip), port.parse().ok()?),
        incarnation: Incarnation::new(hexadecimal(incarnation)?),
        serial: hexadecimal(serial)?,
        check: hexadecimal(check)?,
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
        *byte = u8::try_from(hexadecimal(&text[2 * index..2 * index + 2])?).ok()?;
    }
    Some(token)
}

/// Reads digits alone: the standard library would take a sign as well.
fn hexadecimal(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_digits)
}
