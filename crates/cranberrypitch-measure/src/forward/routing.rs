//! The cost of the routing decision alone.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_balancer::route::route;
use cranberrypitch_core::{KeyGeneration, ServiceTag};
use cranberrypitch_net::KeyRing;
use serde::Serialize;

use super::load::Flows;
use super::throughput::median;

const DECISIONS: u32 = 200_000;
const REPEATS: u32 = 9;

/// The cost of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RouteCost {
    /// How many decisions were made in all.
    pub decisions: u32,
    /// The median time of a decision.
    pub median_ns: f64,
    /// The shortest mean time of a repeat.
    pub min_ns: f64,
    /// The longest mean time of a repeat.
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
    let repeat = |_| {
        let start = Instant::now();
        for _ in 0..DECISIONS {
            let _route = black_box(route(black_box(&packet), &keys.token_keys()));
        }
        nanos_each(start.elapsed(), DECISIONS)
    };
    let times: Vec<f64> = (0..REPEATS).map(repeat).collect();
    RouteCost {
        decisions: DECISIONS * REPEATS,
        median_ns: median(times.iter().copied()),
        min_ns: times.iter().copied().fold(f64::INFINITY, f64::min),
        max_ns: times.iter().copied().fold(0.0, f64::max),
    }
}

/// Returns the nanoseconds of each of `count` equal steps.
pub(crate) fn nanos_each(elapsed: Duration, count: u32) -> f64 {
    elapsed.as_secs_f64() * 1e9 / f64::from(count)
}
