//! The growth of a balancer's memory with the number of established flows.

use std::net::{Ipv4Addr, UdpSocket};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::runtime::Builder;

use super::load::{Flows, start_sink};
use super::{Balancer, service_tag};
use crate::errors::Result;
use crate::process::Memory;

/// The number of flows that are sent before the measurement.
const WARM_UP_FLOWS: u32 = 1000;

/// The number of packets in flight, which fit into the balancer's socket buffer.
const WINDOW: u32 = 32;

/// The time after which a packet that was not forwarded counts as lost.
const WINDOW_TIMEOUT: Duration = Duration::from_millis(200);

const IDLE_TIME: Duration = Duration::from_secs(2);

/// The result of sending one packet on each of a number of flows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GrowthRow {
    /// The number of flows, each with one packet.
    pub flows: u32,
    /// The number of packets that were forwarded.
    pub forwarded: u64,
    /// The number of packets that were placed as initial packets.
    pub placed: u64,
    /// The duration of sending.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// The growth of the process's memory.
    #[serde(rename = "grown")]
    pub memory_growth: Memory,
}

/// The memory growth for increasing numbers of flows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Growth {
    /// The rate of allocations without packets, which the control thread's timer causes.
    pub idle_allocations_per_second: f64,
    /// One row per number of flows.
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
    // The first packets allocate memory that stays in use, such as buffers.
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
    let mut expected = first;
    for number in 0..count {
        flows.write_token(number, &mut packet);
        socket.send_to(&packet, balancer.address)?;
        if (number + 1) % WINDOW == 0 {
            let sent_at = Instant::now();
            expected += u64::from(WINDOW);
            while counters.forwarded() < expected && sent_at.elapsed() < WINDOW_TIMEOUT {
                std::thread::yield_now();
            }
            expected = counters.forwarded();
        }
    }
    let duration_s = start.elapsed().as_secs_f64();
    std::thread::sleep(WINDOW_TIMEOUT);
    Ok(GrowthRow {
        flows: count,
        forwarded: counters.forwarded() - first,
        placed: counters.placed() - placed,
        duration_s,
        memory_growth: Memory::read()?.since(memory),
    })
}
