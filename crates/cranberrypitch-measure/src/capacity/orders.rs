//! Memory and processor time of order tickets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant;

use cranberrypitch_core::orders::{TicketDecision, TicketTable, TicketTableOptions};
use cranberrypitch_core::{Incarnation, KeyGeneration, Outcome};
use cranberrypitch_net::KeyRing;

use super::{Row, as_f64};
use crate::errors::Result;
use crate::forward::nanos_each;
use crate::process::Memory;

const SIZES: [u32; 3] = [1000, 4000, 16_000];
const ANSWER_BYTES: usize = 256;

pub(super) fn measure() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for size in SIZES {
        rows.extend(measure_size(size)?);
    }
    Ok(rows)
}

fn measure_size(size: u32) -> Result<[Row; 2]> {
    let keys = KeyRing::from_secret(KeyGeneration::new(1), &[7; 32]);
    let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 20_001);
    let options = TicketTableOptions::default();
    let mut book = TicketTable::new(options, agent, Incarnation::new(1), keys.token_keys());
    let (before, start) = (Memory::read()?, Instant::now());
    for _ in 0..size {
        let ticket = book.issue(start);
        if book.use_ticket(&ticket, start) == TicketDecision::Run {
            let body = Arc::from([0; ANSWER_BYTES]);
            book.complete(&ticket, Outcome::Done, body, start);
        }
    }
    let time = nanos_each(start.elapsed(), size);
    let held = Memory::read()?.since(before).allocated_bytes;
    let row = |figure, value, unit| Row {
        figure,
        per: "order",
        size,
        value,
        unit,
    };
    Ok([
        row("ticket book with 256-byte answers", as_f64(held), "bytes"),
        row("issue, use and end of one ticket", time, "ns"),
    ])
}
