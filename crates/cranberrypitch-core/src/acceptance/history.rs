//! Which shards changed between the configurations that were in force.

use std::collections::{BTreeSet, VecDeque};

use crate::acceptance::snapshot::ConfigSnapshot;
use crate::ids::Revision;

/// The steps that are remembered; at 42,000 changes a day they reach back nine minutes.
const MAX_STEPS: usize = 256;

#[derive(Debug)]
struct Step {
    base: Revision,
    changed: Box<[usize]>,
}

/// The latest steps from one configuration to the next.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<Step>);

impl History {
    pub(super) fn record(&mut self, older: Option<&ConfigSnapshot>, newer: &ConfigSnapshot) {
        let same_count = |s: &&ConfigSnapshot| s.shard_count() == newer.shard_count();
        let Some(older) = older.filter(same_count) else {
            self.0.clear();
            return;
        };
        let pairs = older.head().shards.iter().zip(&newer.head().shards);
        let changed = pairs.enumerate().filter(|(_, (old, new))| old != new);
        self.0.push_back(Step {
            base: older.head().revision,
            changed: changed.map(|(index, _)| index).collect(),
        });
        if self.0.len() > MAX_STEPS {
            self.0.pop_front();
        }
    }

    /// Returns the shards that changed since a revision, or `None` when it is too far back. A step
    /// that jumps over the revision counts as a whole; the receiver checks the outcome.
    pub(super) fn changed_since(&self, revision: Revision) -> Option<BTreeSet<usize>> {
        let first = self.0.iter().rposition(|step| step.base <= revision)?;
        let steps = self.0.iter().skip(first);
        Some(
            steps
                .flat_map(|step| step.changed.iter().copied())
                .collect(),
        )
    }
}
