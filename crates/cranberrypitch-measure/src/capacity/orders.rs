//! Memory and processor time of order tickets in a ticket table.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant;

use cranberrypitch_core::orders::{TicketDecision, TicketTable, TicketTableOptions};
use cranberrypitch_core::{Incarnation, KeyGeneration, Outcome};
use cranberrypitch_net::KeyRing;

use super::{CapacityRow, to_f64};
use crate::errors::Result;
use crate::forward::mean_nanos;
use crate::process::Memory;

const SIZES: [u32; 3] = [1000, 4000, 16_000];
const ANSWER_BYTES: usize = 256;

pub(super) fn measure() -> Result<Vec<CapacityRow>> {
    let mut rows = Vec::new();
    for size in SIZES {
        rows.extend(measure_size(size)?);
    }
    Ok(rows)
}

fn measure_size(size: u32) -> Result<[CapacityRow; 2]> {
    let keys = KeyRing::from_secret(KeyGeneration::new(1), &[7; 32]);
    let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 20_001);
    let options = TicketTableOptions::default();
    let mut table = TicketTable::new(options, agent, Incarnation::new(1), keys.token_keys());
    let (before, start) = (Memory::read()?, Instant::now());
    for _ in 0..size {
        let ticket = table.issue(start);
        if table.use_ticket(&ticket, start) == TicketDecision::Run {
            let body = Arc::from([0; ANSWER_BYTES]);
            table.complete(&ticket, Outcome::Done, body, start);
        }
    }
    let time_ns = mean_nanos(start.elapsed(), size);
    let allocated_bytes = Memory::read()?.since(before).allocated_bytes;
    let row = |quantity, value, unit| CapacityRow {
        quantity,
        size_unit: "order",
        size,
        value,
        unit,
    };
    Ok([
        row(
            "ticket book with 256-byte answers",
            to_f64(allocated_bytes),
            "bytes",
        ),
        row("issue, use and end of one ticket", time_ns, "ns"),
    ])
}
