//! Random draws of the fabric: balancers, losses, copies and delays.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::options::{FabricOptions, LinkOptions};

/// A direction of packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From callers to balancers.
    ToBalancers,
    /// From balancers to callers.
    ToCallers,
}

/// What passed between the fabric and one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerCounters {
    /// Packets sent towards the balancer, copies included.
    pub to_balancer: u64,
    /// Packets passed from the balancer to callers, copies included.
    pub to_caller: u64,
    /// Packets lost at random, in both directions.
    pub lost: u64,
    /// Packets delivered twice, in both directions.
    pub duplicated: u64,
    /// Packets lost to a cut, in both directions.
    pub link_down: u64,
}

/// What a fabric has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FabricCounters {
    /// Counters of each balancer that was ever live.
    pub balancers: BTreeMap<Ipv4Addr, BalancerCounters>,
    /// Packets of callers that came while no balancer was live.
    pub unrouted: u64,
    /// Packets towards callers from addresses that never were live balancers.
    pub unknown_sender: u64,
    /// Packets lost because they are longer than the platform carries.
    pub oversized: u64,
    /// Packets lost because too many were delayed at once.
    pub queue_full: u64,
}

/// The delays of the copies of one packet; none when it is lost.
pub(crate) type Copies = [Option<Duration>; 2];

/// All draws, from one seeded generator.
#[derive(Debug)]
pub(crate) struct Spray(Mutex<State>);

#[derive(Debug)]
struct State {
    random: Pcg64,
    live: Vec<Ipv4Addr>,
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

impl Spray {
    pub(crate) fn new(options: &FabricOptions) -> Self {
        let spray = Self(Mutex::new(State {
            random: Pcg64::seed_from_u64(options.seed),
            live: Vec::new(),
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_balancers(&self, balancers: &[Ipv4Addr]) {
        let mut state = self.lock();
        state.live = balancers.to_vec();
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

    /// Draws a live balancer for a caller's packet, and the delays of its copies.
    pub(crate) fn to_balancer(&self) -> Option<(Ipv4Addr, Copies)> {
        let mut state = self.lock();
        if state.live.is_empty() {
            state.unrouted += 1;
            return None;
        }
        let index = {
            let count = state.live.len();
            state.random.random_range(0..count)
        };
        let balancer = state.live[index];
        let copies = state.draw(Direction::ToBalancers, balancer)?;
        Some((balancer, copies))
    }

    /// Draws the delays of the copies of a packet that a balancer sent.
    pub(crate) fn to_caller(&self, balancer: Ipv4Addr) -> Option<Copies> {
        self.lock().draw(Direction::ToCallers, balancer)
    }
}

impl State {
    fn draw(&mut self, direction: Direction, balancer: Ipv4Addr) -> Option<Copies> {
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
        if self.random.random_bool(options.loss_rate) {
            link.counters.lost += 1;
            return None;
        }
        let is_duplicated = self.random.random_bool(options.duplication_rate);
        let first = draw_delay(&mut self.random, options);
        let second = is_duplicated.then(|| draw_delay(&mut self.random, options));
        link.counters.duplicated += u64::from(is_duplicated);
        let sent = 1 + u64::from(is_duplicated);
        match direction {
            Direction::ToBalancers => link.counters.to_balancer += sent,
            Direction::ToCallers => link.counters.to_caller += sent,
        }
        Some([Some(first), second])
    }
}

fn draw_delay(random: &mut Pcg64, options: &LinkOptions) -> Duration {
    options.delay + options.jitter.mul_f64(random.random::<f64>())
}
