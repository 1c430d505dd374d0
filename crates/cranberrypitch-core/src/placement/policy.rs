//! Placement policies.

use std::cmp::Ordering;
use std::hash::Hasher;
use std::str::FromStr;

use derive_more::Display;
use rand::{Rng, RngExt};
use siphasher::sip::SipHasher24;

use super::candidate::TrackedTarget;
use super::recent::InitialId;
use crate::errors::{Error, Result};

/// The policy that selects a target among those that accept new flows.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum Policy {
    /// A target drawn at random with equal probabilities.
    #[display("random")]
    Random,
    /// The target with the highest rendezvous hash for the connection id of the first packet.
    #[display("hash")]
    Hash,
    /// Each target in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The target with the fewest reported requests per slot.
    #[display("least-reported")]
    LeastReported,
    /// Of two targets drawn at random, the one with fewer reported requests per slot.
    #[display("two-choices")]
    TwoChoices,
    /// The target with the fewest requests per slot, counting the flows that this balancer has
    /// placed since the last report.
    #[display("own-picks")]
    OwnPicks,
    /// Smooth weighted round robin. The weights follow from predicted free slots and open
    /// connections.
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
        let policy = Self::ALL.into_iter().find(|p| p.to_string() == text);
        policy.ok_or_else(|| Error::parse("placement policy", text, rule))
    }
}

/// The targets among which a policy selects one; `eligible` holds indexes into `targets`.
pub(crate) struct Selection<'a> {
    pub(crate) targets: &'a [TrackedTarget],
    pub(crate) eligible: &'a [usize],
    pub(crate) initial: InitialId,
}

impl Selection<'_> {
    pub(crate) fn pick(
        &self,
        policy: Policy,
        round_robin_position: &mut usize,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if self.eligible.is_empty() {
            return None;
        }
        Some(match policy {
            Policy::Random => self.random(rng),
            Policy::Hash => self.highest_hash(),
            Policy::RoundRobin => self.next(round_robin_position),
            Policy::LeastReported => self.least_loaded(TrackedTarget::reported_requests, rng),
            Policy::TwoChoices => self.better_of_two(rng),
            Policy::OwnPicks => self.least_loaded(TrackedTarget::requests, rng),
            Policy::SmoothWeighted => self.most_credit(rng),
        })
    }

    fn random(&self, rng: &mut impl Rng) -> usize {
        self.eligible[rng.random_range(0..self.eligible.len())]
    }

    fn highest_hash(&self) -> usize {
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

    fn next(&self, round_robin_position: &mut usize) -> usize {
        *round_robin_position = round_robin_position.wrapping_add(1);
        self.eligible[*round_robin_position % self.eligible.len()]
    }

    fn better_of_two(&self, rng: &mut impl Rng) -> usize {
        let (first, second) = (self.random(rng), self.random(rng));
        match self.compare(first, second, TrackedTarget::reported_requests) {
            Ordering::Greater => second,
            _ => first,
        }
    }

    /// Returns the target with the most credit, or a random one among equals, so that balancers that
    /// start at the same time don't all begin with the same target.
    fn most_credit(&self, rng: &mut impl Rng) -> usize {
        let (before, after) = self
            .eligible
            .split_at(rng.random_range(0..self.eligible.len()));
        let credit = |index: &usize| self.targets[*index].credit;
        let by_credit = |a: &usize, b: &usize| credit(a).total_cmp(&credit(b));
        let most = after.iter().chain(before).copied().max_by(by_credit);
        most.unwrap_or(self.eligible[0])
    }

    /// Returns the least loaded target. Among equals a local one is preferred, and among those a
    /// random one.
    fn least_loaded(&self, requests: fn(&TrackedTarget) -> u32, rng: &mut impl Rng) -> usize {
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

    fn compare(&self, a: usize, b: usize, requests: fn(&TrackedTarget) -> u32) -> Ordering {
        let (a, b) = (&self.targets[a], &self.targets[b]);
        let per_slots = |t: &TrackedTarget, other: &TrackedTarget| {
            u64::from(requests(t)) * u64::from(other.slots())
        };
        let load = per_slots(a, b).cmp(&per_slots(b, a));
        load.then_with(|| b.candidate.is_local.cmp(&a.candidate.is_local))
    }
}
