//! The processor time of the routing decision alone.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_balancer::route::route;
use cranberrypitch_core::{KeyGeneration, ServiceTag};
use cranberrypitch_net::KeyRing;
use serde::Serialize;

use super::load::Flows;
use super::throughput::median;

const DECISIONS_PER_BATCH: u32 = 200_000;
const BATCHES: u32 = 9;

/// The processor time of a routing decision, in repeated batches.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RouteCost {
    /// The total number of decisions.
    pub decisions: u32,
    /// The median of the batches' mean times per decision.
    pub median_ns: f64,
    /// The minimum of the batches' mean times per decision.
    pub min_ns: f64,
    /// The maximum of the batches' mean times per decision.
    pub max_ns: f64,
}

pub(super) fn measure() -> RouteCost {
    let keys = KeyRing::from_secret(KeyGeneration::new(1), &[7; 32]);
    let flows = Flows {
        agent: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 20_001),
        service: ServiceTag::new(1),
        keys: keys.token_keys(),
    };
    let packet = flows.packet();
    let run_batch = |_| {
        let start = Instant::now();
        for _ in 0..DECISIONS_PER_BATCH {
            let _route = black_box(route(black_box(&packet), &keys.token_keys()));
        }
        mean_nanos(start.elapsed(), DECISIONS_PER_BATCH)
    };
    let times_ns: Vec<f64> = (0..BATCHES).map(run_batch).collect();
    RouteCost {
        decisions: DECISIONS_PER_BATCH * BATCHES,
        median_ns: median(times_ns.iter().copied()),
        min_ns: times_ns.iter().copied().fold(f64::INFINITY, f64::min),
        max_ns: times_ns.iter().copied().fold(0.0, f64::max),
    }
}

/// Returns the mean duration of `count` operations, in nanoseconds.
pub(crate) fn mean_nanos(elapsed: Duration, count: u32) -> f64 {
    elapsed.as_secs_f64() * 1e9 / f64::from(count)
}
