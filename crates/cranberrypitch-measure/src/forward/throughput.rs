//! The throughput of a balancer and of the relay, results alternately.

use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::runtime::Builder;

use super::load::{Flows, start_senders, start_sink};
use super::relay::{self, Relay};
use super::{Balancer, service_tag};
use crate::errors::Result;
use crate::process::thread_time;

/// The number of flows.
const FLOWS: u32 = 1000;

/// The number of sending threads. Two saturate one forwarding thread, as a relay makes two system calls
/// per packet.
const SENDERS: u32 = 2;

const WARM_UP: Duration = Duration::from_millis(200);
const ROUND_DURATION: Duration = Duration::from_secs(1);

const TRAFFIC_THREAD: &str = "balancer-traffic";

/// One measurement of one second each of the relay and the balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ThroughputRound {
    /// The throughput of the relay, in packets per second.
    pub relay_per_second: f64,
    /// The throughput of the balancer, in packets per second.
    pub balancer_per_second: f64,
    /// The packets per second of processor time of the relay's thread.
    pub relay_per_cpu_second: f64,
    /// The packets per second of processor time of the balancer's traffic thread.
    pub balancer_per_cpu_second: f64,
    /// The throughput of the balancer, as a fraction of that of the relay.
    pub ratio: f64,
    /// The packets per second of processor time of the balancer, as a fraction of those of the relay.
    pub cpu_ratio: f64,
}

/// The throughput over all rounds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Throughput {
    /// The length of each packet from a caller.
    pub packet_bytes: usize,
    /// The number of flows of the packets.
    pub flows: u32,
    /// The median of `ratio` over the rounds.
    pub median_ratio: f64,
    /// The median of `cpu_ratio` over the rounds.
    pub median_cpu_ratio: f64,
    /// The rounds, in execution order.
    pub rounds: Vec<ThroughputRound>,
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
    let mut results = Vec::new();
    for number in 0..rounds {
        // The order alternates, so that drift affects both alike.
        let is_balancer_first = number % 2 == 0;
        let mut round = ThroughputRound::default();
        for is_balancer in [is_balancer_first, !is_balancer_first] {
            if is_balancer {
                let senders = start_senders(&flows, FLOWS, balancer.address, SENDERS)?;
                let forwarded = || balancer.handle.counters().forwarded();
                let rates = rates(forwarded, TRAFFIC_THREAD);
                senders.stop();
                (round.balancer_per_second, round.balancer_per_cpu_second) = rates?;
            } else {
                let senders = start_senders(&flows, FLOWS, relay.address, SENDERS)?;
                let rates = rates(|| relay.forwarded(), relay::THREAD_NAME);
                senders.stop();
                (round.relay_per_second, round.relay_per_cpu_second) = rates?;
            }
        }
        round.ratio = round.balancer_per_second / round.relay_per_second;
        round.cpu_ratio = round.balancer_per_cpu_second / round.relay_per_cpu_second;
        results.push(round);
    }
    relay.stop();
    sink.stop();
    balancer.handle.kill();
    Ok(Throughput {
        packet_bytes: super::PACKET_BYTES,
        flows: FLOWS,
        median_ratio: median(results.iter().map(|round| round.ratio)),
        median_cpu_ratio: median(results.iter().map(|round| round.cpu_ratio)),
        rounds: results,
    })
}

/// Returns the packets per second, and per second of the thread's processor time.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are far below 2 to the power of 53"
)]
fn rates(forwarded: impl Fn() -> u64, thread: &str) -> Result<(f64, f64)> {
    std::thread::sleep(WARM_UP);
    let (count_before, cpu_before, start) = (forwarded(), thread_time(thread)?, Instant::now());
    std::thread::sleep(ROUND_DURATION);
    let packets = (forwarded() - count_before) as f64;
    let cpu = thread_time(thread)?.saturating_sub(cpu_before);
    let elapsed = start.elapsed();
    Ok((packets / elapsed.as_secs_f64(), packets / cpu.as_secs_f64()))
}

pub(crate) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
