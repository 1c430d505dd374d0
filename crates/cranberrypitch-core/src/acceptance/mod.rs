//! Which configuration is in force, and what is lacking to bring a newer one in force.
//!
//! The revision alone orders configurations. A process never goes back to an older one, and a newer
//! one takes effect as a whole, once its last shard has arrived.

mod history;
mod pending;
mod snapshot;
mod update;

use std::sync::Arc;

use crate::acceptance::history::History;
use crate::acceptance::pending::Pending;
use crate::config::{ConfigHead, Digest, Shard};
use crate::errors::{Error, Result};
use crate::ids::Revision;

pub use snapshot::ConfigSnapshot;
pub use update::{ConfigDelta, ConfigUpdate, FullUpdate, MAX_UPDATE_BYTES};

/// What came of an offer.
#[derive(Clone, Debug)]
pub enum ApplyResult {
    /// It holds nothing newer than what is known.
    Ignored,
    /// It is newer, and this many shards are needed before it takes effect; see
    /// [`ConfigReplica::missing_shards`].
    MissingShards(usize),
    /// It is in force.
    InForce(Arc<ConfigSnapshot>),
}

/// Decides which configuration is in force in one process.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    in_force: Option<Arc<ConfigSnapshot>>,
    pending: Option<Pending>,
    min_revision: Revision,
    history: History,
}

impl ConfigReplica {
    /// Returns a process that has nothing in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what is in force.
    pub const fn in_force(&self) -> Option<&Arc<ConfigSnapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the revision in force, or 0 when there is none.
    pub fn revision(&self) -> Revision {
        self.in_force
            .as_ref()
            .map_or(Revision::default(), |s| s.head().revision)
    }

    /// Notes that a revision is in force elsewhere. Anything older is not accepted any more, so that
    /// a process that has just started does not take up what a stale peer offers. Shards that arrived
    /// for an older head are kept for the next one.
    pub fn raise_min_revision(&mut self, revision: Revision) {
        self.min_revision = self.min_revision.max(revision);
    }

    /// Returns the greatest revision known to exist.
    pub fn newest_known_revision(&self) -> Revision {
        let pending = self.pending.as_ref().map(|p| p.head().revision);
        let newest = self.revision().max(self.min_revision);
        pending.map_or(newest, |revision| newest.max(revision))
    }

    /// Returns the shards that are needed before the newest head takes effect.
    pub fn missing_shards(&self) -> Vec<Digest> {
        self.pending
            .as_ref()
            .map_or(Vec::new(), Pending::missing_digests)
    }

    /// Takes in a head.
    pub fn apply_head(&mut self, head: ConfigHead) -> Result<ApplyResult> {
        self.check_conflict(&head)?;
        if head.revision < self.min_revision || head.revision <= self.revision() {
            return Ok(ApplyResult::Ignored);
        }
        let newer = |p: &Pending| p.head().revision < head.revision;
        if self.pending.as_ref().is_none_or(newer) {
            let in_force = self.in_force.as_deref();
            self.pending = Some(Pending::try_new(head, in_force, self.pending.take())?);
        }
        Ok(self.settle())
    }

    /// Takes in a shard of the newest head.
    pub fn apply_shard(&mut self, encoded: &str) -> Result<ApplyResult> {
        let Some(pending) = &mut self.pending else {
            return Ok(ApplyResult::Ignored);
        };
        if !pending.wants(Digest::of(encoded.as_bytes())) {
            return Ok(ApplyResult::Ignored);
        }
        pending.insert(Shard::decode(encoded)?)?;
        Ok(self.settle())
    }

    /// Takes in what a peer answered.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> Result<ApplyResult> {
        let (head, shards) = match update {
            ConfigUpdate::Full(full) => (full.head, full.shards),
            ConfigUpdate::Delta(delta) if delta.revision <= self.revision() => {
                return Ok(ApplyResult::Ignored);
            }
            ConfigUpdate::Delta(delta) => delta.apply_to(self.in_force.as_deref())?,
        };
        let mut progress = self.apply_head(head)?;
        for shard in &shards {
            match self.apply_shard(shard)? {
                ApplyResult::Ignored => {}
                newer => progress = newer,
            }
        }
        Ok(progress)
    }

    /// Returns what a receiver needs that has `revision` in force, or `None` when it needs nothing.
    pub fn update_since(&self, revision: Revision) -> Option<ConfigUpdate> {
        let snapshot = self.in_force.as_deref()?;
        if revision >= snapshot.head().revision {
            return None;
        }
        let delta = self
            .history
            .changed_since(revision)
            .and_then(|changed| ConfigDelta::collect(revision, &changed, snapshot));
        Some(match delta {
            Some(delta) => ConfigUpdate::Delta(delta),
            None => ConfigUpdate::Full(FullUpdate::collect(snapshot)),
        })
    }

    /// Returns the content of those of the named shards that are in force, up to
    /// [`MAX_UPDATE_BYTES`].
    pub fn shards(&self, digests: &[Digest]) -> Vec<Box<str>> {
        let snapshot = self.in_force.as_deref();
        snapshot.map_or(Vec::new(), |s| update::collect_shards(s, digests))
    }

    fn check_conflict(&self, head: &ConfigHead) -> Result<()> {
        let in_force = self.in_force.as_deref().map(ConfigSnapshot::head);
        let pending = self.pending.as_ref().map(Pending::head);
        let clash =
            |known: &ConfigHead| known.revision == head.revision && known.edit_id != head.edit_id;
        if in_force.is_some_and(clash) || pending.is_some_and(clash) {
            let revision = head.revision;
            return Err(Error::RevisionConflict { revision });
        }
        Ok(())
    }

    fn settle(&mut self) -> ApplyResult {
        let Some(pending) = self.pending.take() else {
            return ApplyResult::Ignored;
        };
        if pending.head().revision < self.min_revision {
            self.pending = Some(pending);
            return ApplyResult::Ignored;
        }
        match pending.finish() {
            Ok(snapshot) => {
                let snapshot = Arc::new(snapshot);
                self.history.record(self.in_force.as_deref(), &snapshot);
                self.in_force = Some(Arc::clone(&snapshot));
                ApplyResult::InForce(snapshot)
            }
            Err(pending) => {
                let lacking = pending.missing_count();
                self.pending = Some(*pending);
                ApplyResult::MissingShards(lacking)
            }
        }
    }
}
