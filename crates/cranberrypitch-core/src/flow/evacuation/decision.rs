//! Which set of evacuated failure domains is in force, by reads of the store and by the sets of other
//! balancers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::state::{EvacuationSet, EvacuationVersion};
use crate::ids::FailureDomain;

/// The time for which a domain stays evacuated although the first listing of a new epoch lacks its key. The
/// operator writes lost keys again within about 0.7 s after a restoration; the margin covers a slow store.
const RESTORATION_GRACE: Duration = Duration::from_millis(3500);

/// A change of the key of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The revision at which the key was written, or none if it was removed.
    pub written_at: Option<u64>,
}

/// What a read of the store returned about evacuations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationContents {
    /// The failure domains of all keys.
    Listing(BTreeSet<FailureDomain>),
    /// All changes since the last read, in their order.
    Changes(Vec<EvacuationChange>),
}

/// A read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRead {
    /// The epoch of the store.
    pub epoch: u64,
    /// The revision of the store up to which the read is complete.
    pub revision: u64,
    /// What the read returned.
    pub contents: EvacuationContents,
}

/// The domains that stay evacuated for some time although a restored store lacks their keys.
#[derive(Clone, Debug)]
struct RestorationGrace {
    failure_domains: BTreeSet<FailureDomain>,
    until: Instant,
}

/// Derives the set in force from reads of the store and from the sets of other balancers.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTracker {
    in_force: EvacuationSet,
    /// The domains of the keys in the store as of the last read.
    stored: BTreeSet<FailureDomain>,
    /// The epoch and the revision of the last read.
    read_version: Option<EvacuationVersion>,
    grace: Option<RestorationGrace>,
}

impl EvacuationTracker {
    /// Returns the set in force.
    pub const fn in_force(&self) -> &EvacuationSet {
        &self.in_force
    }

    /// Applies a set of another balancer that arrived at `now`. Returns whether it replaced the set in force.
    pub fn on_set(&mut self, set: EvacuationSet, now: Instant) -> bool {
        if !self.in_force.replace_by_newer(set) {
            return false;
        }
        // The other balancer has seen that the evacuation ended.
        if let Some(grace) = &mut self.grace {
            let in_force = &self.in_force;
            grace.failure_domains.retain(|d| in_force.contains(d));
        }
        // The store lacked some of the domains at a later version than that of the set, so they are of before
        // a restoration that this balancer did not see.
        if Some(self.in_force.version) <= self.read_version {
            self.begin_grace(now);
        }
        true
    }

    /// Keeps the domains in force that the store lacks evacuated for the grace time, unless they are already.
    fn begin_grace(&mut self, now: Instant) {
        let lost: BTreeSet<_> = self
            .in_force
            .failure_domains
            .difference(&self.stored)
            .collect();
        let is_known =
            |grace: &RestorationGrace| lost.iter().all(|d| grace.failure_domains.contains(*d));
        if !self.grace.as_ref().is_some_and(is_known) {
            self.grace = Some(RestorationGrace {
                failure_domains: lost.into_iter().cloned().collect(),
                until: now + RESTORATION_GRACE,
            });
        }
    }

    /// Applies a read of the store that was answered at `now`. Returns whether the set in force was replaced.
    pub fn on_read(&mut self, read: EvacuationRead, now: Instant) -> bool {
        let EvacuationRead {
            epoch,
            revision,
            contents,
        } = read;
        let read_version = EvacuationVersion { epoch, revision };
        let revision = match contents {
            EvacuationContents::Listing(listed) => {
                self.apply_listing(epoch, listed, now);
                revision
            }
            EvacuationContents::Changes(changes) => self.apply_changes(changes, revision),
        };
        self.read_version = Some(read_version);
        let in_grace = self.domains_in_grace(now);
        // A set with domains that the store lacks is older than the store at this revision: the set without
        // them must replace it, also if nothing has been written since.
        let revision = if in_grace.is_subset(&self.stored) {
            revision
        } else {
            revision.saturating_sub(1)
        };
        let failure_domains: BTreeSet<_> = self.stored.union(&in_grace).cloned().collect();
        if failure_domains == self.in_force.failure_domains && !self.is_of_earlier_epoch(epoch) {
            return false;
        }
        let version = EvacuationVersion { epoch, revision };
        self.in_force.replace_by_newer(EvacuationSet {
            version,
            failure_domains,
        })
    }

    /// Returns whether the set in force is from an earlier epoch. It then gets a version of the present one,
    /// so that no other set of the earlier epoch can replace it.
    fn is_of_earlier_epoch(&self, epoch: u64) -> bool {
        let version = self.in_force.version;
        version != EvacuationVersion::default() && version.epoch < epoch
    }

    fn apply_listing(&mut self, epoch: u64, listed: BTreeSet<FailureDomain>, now: Instant) {
        self.stored = listed;
        let is_earlier = |read: EvacuationVersion| read.epoch < epoch;
        if self.read_version.is_some_and(is_earlier) || self.is_of_earlier_epoch(epoch) {
            self.begin_grace(now);
        }
    }

    /// Applies changes, and returns the revision of the last one. That of a removal is known only to be at
    /// most the revision of the read.
    fn apply_changes(&mut self, changes: Vec<EvacuationChange>, read_revision: u64) -> u64 {
        let written_at: Option<Vec<_>> = changes.iter().map(|change| change.written_at).collect();
        for change in changes {
            // A key that was written and removed again in the new epoch has no grace.
            if let Some(grace) = &mut self.grace {
                grace.failure_domains.remove(&change.failure_domain);
            }
            if change.written_at.is_some() {
                self.stored.insert(change.failure_domain);
            } else {
                self.stored.remove(&change.failure_domain);
            }
        }
        let last = written_at.and_then(|revisions| revisions.into_iter().max());
        last.unwrap_or(read_revision)
    }

    /// Returns the domains that stay evacuated because of a restoration.
    fn domains_in_grace(&mut self, now: Instant) -> BTreeSet<FailureDomain> {
        self.grace = self.grace.take().filter(|grace| now < grace.until);
        let grace = self.grace.as_ref();
        grace.map_or_else(BTreeSet::new, |grace| grace.failure_domains.clone())
    }
}
