//! The shards that changed between successive configurations in force.

use std::collections::{BTreeSet, VecDeque};

use crate::acceptance::snapshot::ConfigSnapshot;
use crate::ids::Revision;

/// The number of transitions kept. At 42,000 changes per day they cover nine minutes.
const MAX_TRANSITIONS: usize = 256;

#[derive(Debug)]
struct Transition {
    base: Revision,
    changed_shards: Box<[usize]>,
}

/// The latest transitions from one configuration to the next.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<Transition>);

impl History {
    pub(super) fn record(&mut self, older: Option<&ConfigSnapshot>, newer: &ConfigSnapshot) {
        let has_same_count = |s: &&ConfigSnapshot| s.shard_count() == newer.shard_count();
        let Some(older) = older.filter(has_same_count) else {
            self.0.clear();
            return;
        };
        let pairs = older.head().shards.iter().zip(&newer.head().shards);
        let changed = pairs.enumerate().filter(|(_, (old, new))| old != new);
        self.0.push_back(Transition {
            base: older.head().revision,
            changed_shards: changed.map(|(index, _)| index).collect(),
        });
        if self.0.len() > MAX_TRANSITIONS {
            self.0.pop_front();
        }
    }

    /// Returns the indexes of the shards that changed since a revision, or `None` if the revision is
    /// older than the history. A transition that spans the revision is included as a whole; the
    /// receiver verifies the result by its digest.
    pub(super) fn changed_since(&self, revision: Revision) -> Option<BTreeSet<usize>> {
        let first = self
            .0
            .iter()
            .rposition(|transition| transition.base <= revision)?;
        let transitions = self.0.iter().skip(first);
        Some(
            transitions
                .flat_map(|transition| transition.changed_shards.iter().copied())
                .collect(),
        )
    }
}
