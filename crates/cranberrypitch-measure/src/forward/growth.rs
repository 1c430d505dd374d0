//! Memory of a balancer against the number of established flows.

use std::net::{Ipv4Addr, UdpSocket};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::runtime::Builder;

use super::load::{Flows, start_sink};
use super::{Balancer, service_tag};
use crate::errors::Result;
use crate::process::Memory;

/// The flows that are sent before the first row.
const WARM_UP_FLOWS: u32 = 1000;

/// The packets sent before the balancer has to have forwarded them, which its socket buffer holds.
const WINDOW: u32 = 32;

/// A packet that is not forwarded within this time is lost.
const WINDOW_TIMEOUT: Duration = Duration::from_millis(200);

const IDLE_TIME: Duration = Duration::from_secs(2);

/// The process after packets of this many flows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GrowthRow {
    /// The flows, each with one packet of its own.
    pub flows: u32,
    /// The packets that were forwarded.
    pub forwarded: u64,
    /// The packets that were placed as first packets.
    pub placed: u64,
    /// The time it took.
    pub seconds: f64,
    /// What the process holds more than before the row.
    pub grown: Memory,
}

/// Rows of growing flow counts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Growth {
    /// Allocations per second without any packet, which the control thread's timer makes.
    pub idle_allocations_per_second: f64,
    /// The rows.
    pub rows: Vec<GrowthRow>,
}

pub(super) fn measure(flow_counts: &[u32]) -> Result<Growth> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let balancer = runtime.block_on(Balancer::start())?;
    let (agent, sink) = start_sink()?;
    let flows = Flows {
        agent,
        service: service_tag()?,
        keys: balancer.keys.token_keys(),
    };
    // The first packets touch pages that stay in use, such as buffers.
    send_flows(&balancer, &flows, WARM_UP_FLOWS)?;
    let before = Memory::read()?;
    std::thread::sleep(IDLE_TIME);
    let idle = Memory::read()?.since(before).allocations;
    let mut rows = Vec::new();
    for count in flow_counts {
        rows.push(send_flows(&balancer, &flows, *count)?);
    }
    sink.stop();
    balancer.handle.kill();
    let idle = f64::from(u32::try_from(idle).unwrap_or(u32::MAX));
    Ok(Growth {
        idle_allocations_per_second: idle / IDLE_TIME.as_secs_f64(),
        rows,
    })
}

fn send_flows(balancer: &Balancer, flows: &Flows, count: u32) -> Result<GrowthRow> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let counters = balancer.handle.counters();
    let mut packet = flows.packet();
    let (first, placed) = (counters.forwarded(), counters.placed());
    let memory = Memory::read()?;
    let start = Instant::now();
    let mut due = first;
    for number in 0..count {
        flows.write(number, &mut packet);
        socket.send_to(&packet, balancer.address)?;
        if (number + 1) % WINDOW == 0 {
            let sent_at = Instant::now();
            due += u64::from(WINDOW);
            while counters.forwarded() < due && sent_at.elapsed() < WINDOW_TIMEOUT {
                std::thread::yield_now();
            }
            due = counters.forwarded();
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    std::thread::sleep(WINDOW_TIMEOUT);
    Ok(GrowthRow {
        flows: count,
        forwarded: counters.forwarded() - first,
        placed: counters.placed() - placed,
        seconds,
        grown: Memory::read()?.since(memory),
    })
}
