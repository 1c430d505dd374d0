//! Policies of placement.

use std::cmp::Ordering;
use std::hash::Hasher;
use std::str::FromStr;

use derive_more::Display;
use rand::{Rng, RngExt};
use siphasher::sip::SipHasher24;

use super::candidate::Tracked;
use super::recent::InitialId;
use crate::errors::{Error, Result};

/// How a target is chosen among those that take new flows.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Any target with equal probability.
    #[display("random")]
    Random,
    /// The target with the highest rendezvous hash of the first packet's connection id.
    #[display("hash")]
    Hash,
    /// One target after the other.
    #[display("round-robin")]
    RoundRobin,
    /// The target with the fewest reported requests per slot.
    #[display("least-reported")]
    LeastReported,
    /// The target with fewer reported requests per slot of two that are drawn at random.
    #[display("two-choices")]
    TwoChoices,
    /// The target with the fewest requests per slot, own picks since the last report included.
    #[display("own-picks")]
    OwnPicks,
    /// A draw among targets with free slots, weighted by free slots and by open connections.
    #[default]
    #[display("free-slots")]
    FreeSlots,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::Hash,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::OwnPicks,
        Self::FreeSlots,
    ];
}

impl FromStr for Policy {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let rule =
            "random, hash, round-robin, least-reported, two-choices, own-picks or free-slots";
        let named = Self::ALL.into_iter().find(|p| p.to_string() == text);
        named.ok_or_else(|| Error::parse("placement policy", text, rule))
    }
}

/// The most by which the share of connections raises or lowers a target's weight. It keeps a
/// target with few connections, such as a cold one, from drawing most new flows.
const MAX_CONNECTION_FACTOR: f64 = 2.0;

pub(crate) struct Choice<'a> {
    pub(crate) targets: &'a [Tracked],
    pub(crate) eligible: &'a [usize],
    pub(crate) initial: InitialId,
}

impl Choice<'_> {
    pub(crate) fn pick(
        &self,
        policy: Policy,
        turn: &mut usize,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if self.eligible.is_empty() {
            return None;
        }
        Some(match policy {
            Policy::Random => self.any(rng),
            Policy::Hash => self.hashed(),
            Policy::RoundRobin => self.next(turn),
            Policy::LeastReported => self.least(Tracked::reported_requests, rng),
            Policy::TwoChoices => self.better_of_two(rng),
            Policy::OwnPicks => self.least(Tracked::requests, rng),
            Policy::FreeSlots => match self.draw_free(rng) {
                Some(index) => index,
                None => self.least(Tracked::requests, rng),
            },
        })
    }

    fn any(&self, rng: &mut impl Rng) -> usize {
        self.eligible[rng.random_range(0..self.eligible.len())]
    }

    fn hashed(&self) -> usize {
        let weight = |index: &usize| {
            let address = self.targets[*index].candidate.address;
            let mut hasher = SipHasher24::new_with_keys(0, 0);
            hasher.write(self.initial.as_bytes());
            hasher.write(&address.ip().octets());
            hasher.write(&address.port().to_be_bytes());
            hasher.finish()
        };
        let highest = self.eligible.iter().copied().max_by_key(weight);
        highest.unwrap_or(self.eligible[0])
    }

    fn next(&self, turn: &mut usize) -> usize {
        *turn = turn.wrapping_add(1);
        self.eligible[*turn % self.eligible.len()]
    }

    fn better_of_two(&self, rng: &mut impl Rng) -> usize {
        let (first, second) = (self.any(rng), self.any(rng));
        match self.compare(first, second, Tracked::reported_requests) {
            Ordering::Greater => second,
            _ => first,
        }
    }

    /// Returns the least loaded target; among equals a local one, and among those any.
    fn least(&self, requests: fn(&Tracked) -> u32, rng: &mut impl Rng) -> usize {
        let mut best = self.eligible[0];
        let mut ties = 1_u32;
        for &index in &self.eligible[1..] {
            match self.compare(index, best, requests) {
                Ordering::Less => (best, ties) = (index, 1),
                Ordering::Greater => {}
                Ordering::Equal => {
                    ties += 1;
                    if rng.random_range(0..ties) == 0 {
                        best = index;
                    }
                }
            }
        }
        best
    }

    fn compare(&self, a: usize, b: usize, requests: fn(&Tracked) -> u32) -> Ordering {
        let (a, b) = (&self.targets[a], &self.targets[b]);
        let per_slots =
            |t: &Tracked, other: &Tracked| u64::from(requests(t)) * u64::from(other.slots());
        let load = per_slots(a, b).cmp(&per_slots(b, a));
        load.then_with(|| b.candidate.is_local.cmp(&a.candidate.is_local))
    }

    /// Draws among targets with free slots; a local one takes the place of one that is no better.
    fn draw_free(&self, rng: &mut impl Rng) -> Option<usize> {
        let mean = self.mean_connections_per_slot();
        let weights: Vec<f64> = self
            .eligible
            .iter()
            .map(|&index| free_weight(&self.targets[index], mean))
            .collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let mut rest = rng.random_range(0.0..total);
        let drawn = weights.iter().position(|weight| {
            let is_hit = rest < *weight;
            rest -= weight;
            is_hit
        })?;
        Some(self.local_equal(self.eligible[drawn], mean))
    }

    /// Returns a local target whose load is no higher than that of `drawn`, or `drawn`.
    fn local_equal(&self, drawn: usize, mean: f64) -> usize {
        if self.targets[drawn].candidate.is_local {
            return drawn;
        }
        let is_equal = |index: &usize| {
            let target = &self.targets[*index];
            let order = self.compare(*index, drawn, Tracked::requests);
            target.candidate.is_local
                && order == Ordering::Less
                && connections_per_slot(target) <= mean
        };
        let mut local = self.eligible.iter().copied().filter(is_equal);
        local.next().unwrap_or(drawn)
    }

    fn mean_connections_per_slot(&self) -> f64 {
        let targets = self.eligible.iter().map(|&index| &self.targets[index]);
        let (connections, slots) = targets.fold((0.0, 0.0), |(connections, slots), target| {
            (
                connections + f64::from(target.connections() + 1),
                slots + f64::from(target.slots()),
            )
        });
        connections / slots
    }
}

fn connections_per_slot(target: &Tracked) -> f64 {
    f64::from(target.connections() + 1) / f64::from(target.slots())
}

fn free_weight(target: &Tracked, mean_connections: f64) -> f64 {
    let free = target.slots().saturating_sub(target.requests());
    let factor = mean_connections / connections_per_slot(target);
    f64::from(free) * factor.clamp(MAX_CONNECTION_FACTOR.recip(), MAX_CONNECTION_FACTOR)
}
