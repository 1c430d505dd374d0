//! Packets per second of a balancer and of a bare relay, in turns.

use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::runtime::Builder;

use super::load::{Flows, start_senders, start_sink};
use super::relay::{self, Relay};
use super::{Balancer, service_tag};
use crate::errors::Result;
use crate::process::thread_time;

const FLOWS: u32 = 1000;

/// Two senders give more packets than one thread forwards, as a relay makes two calls for each.
const SENDERS: u32 = 2;

const WARM_UP: Duration = Duration::from_millis(200);
const ROUND: Duration = Duration::from_secs(1);

const TRAFFIC_THREAD: &str = "balancer-traffic";

/// One second of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Round {
    /// Packets per second of the bare relay.
    pub relay_per_second: f64,
    /// Packets per second of the balancer.
    pub balancer_per_second: f64,
    /// Packets per second of processor time of the relay's thread.
    pub relay_per_cpu_second: f64,
    /// Packets per second of processor time of the balancer's traffic thread.
    pub balancer_per_cpu_second: f64,
    /// The balancer's packets per second, as a fraction of the relay's.
    pub ratio: f64,
    /// The same per second of processor time.
    pub cpu_ratio: f64,
}

/// All rounds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Throughput {
    /// The length of each packet from a caller.
    pub packet_bytes: usize,
    /// The flows that the packets belong to.
    pub flows: u32,
    /// The median of the ratios.
    pub median_ratio: f64,
    /// The median of the ratios per second of processor time.
    pub median_cpu_ratio: f64,
    /// The rounds in order.
    pub rounds: Vec<Round>,
}

pub(super) fn measure(rounds: u32) -> Result<Throughput> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let balancer = runtime.block_on(Balancer::start())?;
    let (agent, sink) = start_sink()?;
    let relay = Relay::start(agent)?;
    let flows = Flows {
        agent,
        service: service_tag()?,
        keys: balancer.keys.token_keys(),
    };
    let mut measured = Vec::new();
    for number in 0..rounds {
        // Each of the two goes first in every other round.
        let balancer_first = number % 2 == 0;
        let mut round = Round::default();
        for is_balancer in [balancer_first, !balancer_first] {
            if is_balancer {
                let senders = start_senders(&flows, FLOWS, balancer.address, SENDERS)?;
                let forwarded = || balancer.handle.counters().forwarded();
                let rates = rates(forwarded, TRAFFIC_THREAD);
                senders.stop();
                (round.balancer_per_second, round.balancer_per_cpu_second) = rates?;
            } else {
                let senders = start_senders(&flows, FLOWS, relay.address, SENDERS)?;
                let rates = rates(|| relay.forwarded(), relay::THREAD);
                senders.stop();
                (round.relay_per_second, round.relay_per_cpu_second) = rates?;
            }
        }
        round.ratio = round.balancer_per_second / round.relay_per_second;
        round.cpu_ratio = round.balancer_per_cpu_second / round.relay_per_cpu_second;
        measured.push(round);
    }
    relay.stop();
    sink.stop();
    balancer.handle.kill();
    Ok(Throughput {
        packet_bytes: super::PACKET_BYTES,
        flows: FLOWS,
        median_ratio: median(measured.iter().map(|round| round.ratio)),
        median_cpu_ratio: median(measured.iter().map(|round| round.cpu_ratio)),
        rounds: measured,
    })
}

/// Returns packets per second and per second of the thread's processor time.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are far below 2 to the power of 53"
)]
fn rates(forwarded: impl Fn() -> u64, thread: &str) -> Result<(f64, f64)> {
    std::thread::sleep(WARM_UP);
    let (count, cpu, start) = (forwarded(), thread_time(thread)?, Instant::now());
    std::thread::sleep(ROUND);
    let packets = (forwarded() - count) as f64;
    let cpu = thread_time(thread)?.saturating_sub(cpu);
    let elapsed = start.elapsed();
    Ok((packets / elapsed.as_secs_f64(), packets / cpu.as_secs_f64()))
}

pub(crate) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
