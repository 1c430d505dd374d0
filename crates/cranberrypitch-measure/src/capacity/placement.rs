//! Processor time of a placement and of an update of the candidates.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::placement::{Candidate, InitialId, PlacementOptions, Placer};
use cranberrypitch_core::{ConnectionLimit, Incarnation, Slots, TargetLoad, TargetState};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::CapacityRow;
use crate::errors::Result;
use crate::forward::mean_nanos;

const SIZES: [u32; 4] = [10, 100, 1000, 10_000];
const PLACEMENTS: u32 = 2000;
const UPDATES: u32 = 50;

#[expect(
    clippy::unnecessary_wraps,
    reason = "all sections have the same signature"
)]
pub(super) fn measure() -> Result<Vec<CapacityRow>> {
    let mut rows = Vec::new();
    for size in SIZES {
        let now = Instant::now();
        let candidates: Vec<_> = (0..size).map(|n| candidate(n, now)).collect();
        let mut placer = Placer::new(PlacementOptions::default());
        placer.set_candidates(&candidates, now);
        rows.push(row("placement", size, time_placements(&mut placer, now)));
        let start = Instant::now();
        for step in 1..=UPDATES {
            let now = now + Duration::from_millis(200) * step;
            placer.set_candidates(black_box(&candidates), now);
        }
        let update_ns = mean_nanos(start.elapsed(), UPDATES);
        rows.push(row("new view of the candidates", size, update_ns));
    }
    Ok(rows)
}

const fn row(quantity: &'static str, size: u32, value: f64) -> CapacityRow {
    let (size_unit, unit) = ("candidate", "ns");
    CapacityRow {
        quantity,
        size_unit,
        size,
        value,
        unit,
    }
}

fn time_placements(placer: &mut Placer, now: Instant) -> f64 {
    let mut rng = Pcg64::seed_from_u64(1);
    let start = Instant::now();
    for number in 0..PLACEMENTS {
        let id = u64::from(number).to_be_bytes();
        if let Some(initial) = InitialId::try_new(&id) {
            let _placed = black_box(placer.place(initial, now, &mut rng));
        }
    }
    mean_nanos(start.elapsed(), PLACEMENTS)
}

fn candidate(number: u32, now: Instant) -> Candidate {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + number);
    Candidate {
        address: SocketAddrV4::new(ip, 20_001),
        incarnation: Incarnation::new(1),
        state: TargetState::Ready,
        load: TargetLoad {
            slots: Slots::new(4),
            running: number % 4,
            waiting: 0,
            connections: number % 1000,
        },
        connection_limit: ConnectionLimit::new(20_000),
        is_local: number.is_multiple_of(3),
        reported_at: now,
    }
}
