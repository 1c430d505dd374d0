//! Random choices of the fabric: balancer, loss, duplication and delay of each packet.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::options::{FabricOptions, LinkOptions};

/// The direction of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From callers to balancers.
    ToBalancers,
    /// From balancers to callers.
    ToCallers,
}

/// Counters of the packets between the fabric and one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerCounters {
    /// Packets sent to the balancer, duplicates included.
    pub to_balancer: u64,
    /// Packets sent from the balancer to callers, duplicates included.
    pub to_caller: u64,
    /// Packets dropped by emulated packet loss, in both directions.
    pub lost: u64,
    /// Packets that were duplicated, in both directions.
    pub duplicated: u64,
    /// Packets dropped because the link was down, in both directions.
    pub link_down: u64,
}

/// Counters of a fabric.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FabricCounters {
    /// Counters of each balancer that is or was live.
    pub balancers: BTreeMap<Ipv4Addr, BalancerCounters>,
    /// Packets from callers that were dropped because no balancer was live.
    pub unrouted: u64,
    /// Packets to callers that were dropped because their sender was never a live balancer.
    pub unknown_sender: u64,
    /// Packets that were dropped because they exceed the MTU of the platform.
    pub oversized: u64,
    /// Packets that were dropped because the queue of delayed packets was full.
    pub queue_full: u64,
}

/// The delays of a packet and of its duplicate, if there is one.
pub(crate) type CopyDelays = [Option<Duration>; 2];

/// Makes the random choices with one seeded generator and counts the packets.
#[derive(Debug)]
pub(crate) struct Sprayer(Mutex<SprayerState>);

#[derive(Debug)]
struct SprayerState {
    rng: Pcg64,
    live_balancers: Vec<Ipv4Addr>,
    links: BTreeMap<Ipv4Addr, BalancerLink>,
    to_balancers: LinkOptions,
    to_callers: LinkOptions,
    unrouted: u64,
    unknown_sender: u64,
    oversized: u64,
}

#[derive(Debug, Default)]
struct BalancerLink {
    is_down: bool,
    counters: BalancerCounters,
}

impl Sprayer {
    pub(crate) fn new(options: &FabricOptions) -> Self {
        let spray = Self(Mutex::new(SprayerState {
            rng: Pcg64::seed_from_u64(options.seed),
            live_balancers: Vec::new(),
            links: BTreeMap::new(),
            to_balancers: options.to_balancers,
            to_callers: options.to_callers,
            unrouted: 0,
            unknown_sender: 0,
            oversized: 0,
        }));
        spray.set_balancers(&options.balancers);
        spray
    }

    fn lock(&self) -> MutexGuard<'_, SprayerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_balancers(&self, balancers: &[Ipv4Addr]) {
        let mut state = self.lock();
        state.live_balancers = balancers.to_vec();
        for balancer in balancers {
            state.links.entry(*balancer).or_default();
        }
    }

    pub(crate) fn set_link_down(&self, balancer: Ipv4Addr, is_down: bool) {
        self.lock().links.entry(balancer).or_default().is_down = is_down;
    }

    pub(crate) fn set_link_options(&self, direction: Direction, link: LinkOptions) {
        let mut state = self.lock();
        match direction {
            Direction::ToBalancers => state.to_balancers = link,
            Direction::ToCallers => state.to_callers = link,
        }
    }

    pub(crate) fn counters(&self) -> FabricCounters {
        let state = self.lock();
        FabricCounters {
            balancers: state
                .links
                .iter()
                .map(|(balancer, link)| (*balancer, link.counters))
                .collect(),
            unrouted: state.unrouted,
            unknown_sender: state.unknown_sender,
            oversized: state.oversized,
            queue_full: 0,
        }
    }

    pub(crate) fn count_oversized(&self) {
        self.lock().oversized += 1;
    }

    /// Draws a live balancer for a packet from a caller, and the delays. Returns `None` if the packet is
    /// dropped.
    pub(crate) fn draw_to_balancer(&self) -> Option<(Ipv4Addr, CopyDelays)> {
        let mut state = self.lock();
        if state.live_balancers.is_empty() {
            state.unrouted += 1;
            return None;
        }
        let index = {
            let count = state.live_balancers.len();
            state.rng.random_range(0..count)
        };
        let balancer = state.live_balancers[index];
        let delays = state.draw(Direction::ToBalancers, balancer)?;
        Some((balancer, delays))
    }

    /// Draws the delays of a packet from a balancer. Returns `None` if the packet is dropped.
    pub(crate) fn draw_to_caller(&self, balancer: Ipv4Addr) -> Option<CopyDelays> {
        self.lock().draw(Direction::ToCallers, balancer)
    }
}

impl SprayerState {
    fn draw(&mut self, direction: Direction, balancer: Ipv4Addr) -> Option<CopyDelays> {
        let Some(link) = self.links.get_mut(&balancer) else {
            self.unknown_sender += 1;
            return None;
        };
        if link.is_down {
            link.counters.link_down += 1;
            return None;
        }
        let options = match direction {
            Direction::ToBalancers => &self.to_balancers,
            Direction::ToCallers => &self.to_callers,
        };
        if self.rng.random_bool(options.loss_rate) {
            link.counters.lost += 1;
            return None;
        }
        let is_duplicated = self.rng.random_bool(options.duplication_rate);
        let delay = draw_delay(&mut self.rng, options);
        let duplicate_delay = is_duplicated.then(|| draw_delay(&mut self.rng, options));
        link.counters.duplicated += u64::from(is_duplicated);
        let sent_packets = 1 + u64::from(is_duplicated);
        match direction {
            Direction::ToBalancers => link.counters.to_balancer += sent_packets,
            Direction::ToCallers => link.counters.to_caller += sent_packets,
        }
        Some([Some(delay), duplicate_delay])
    }
}

fn draw_delay(rng: &mut Pcg64, options: &LinkOptions) -> Duration {
    options.delay + options.jitter.mul_f64(rng.random::<f64>())
}
