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
    /// Smooth weighted round robin; the weights are predicted free slots and open connections.
    #[default]
    #[display("smooth-weighted")]
    SmoothWeighted,
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
        Self::SmoothWeighted,
    ];
}

impl FromStr for Policy {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let rule =
            "random, hash, round-robin, least-reported, two-choices, own-picks or smooth-weighted";
        let named = Self::ALL.into_iter().find(|p| p.to_string() == text);
        named.ok_or_else(|| Error::parse("placement policy", text, rule))
    }
}

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
            Policy::SmoothWeighted => self.most_credit(rng),
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

    /// Returns the target with the most credit, and any among equals, so that balancers that start
    /// together don't all start with the same target.
    fn most_credit(&self, rng: &mut impl Rng) -> usize {
        let (before, after) = self
            .eligible
            .split_at(rng.random_range(0..self.eligible.len()));
        let credit = |index: &usize| self.targets[*index].credit;
        let by_credit = |a: &usize, b: &usize| credit(a).total_cmp(&credit(b));
        let most = after.iter().chain(before).copied().max_by(by_credit);
        most.unwrap_or(self.eligible[0])
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
}
