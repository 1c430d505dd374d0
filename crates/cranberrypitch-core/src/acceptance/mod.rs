//! One process's copy of the configuration: the revision in force and the newer one that is being
//! collected.
//!
//! Configurations are ordered by their revision alone. A process never returns to an older revision,
//! and a newer one takes effect as a whole when its last shard has arrived.

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

/// The result of applying a head, a shard or an update.
#[derive(Clone, Debug)]
pub enum ApplyResult {
    /// The input contains nothing new.
    Ignored,
    /// A newer configuration is being collected and still lacks this many shards; see
    /// [`ConfigReplica::missing_shards`].
    MissingShards(usize),
    /// The configuration is complete and now in force.
    InForce(Arc<ConfigSnapshot>),
}

/// Collects configurations and decides which one is in force in one process.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    in_force: Option<Arc<ConfigSnapshot>>,
    pending: Option<Pending>,
    min_revision: Revision,
    history: History,
}

impl ConfigReplica {
    /// Returns a replica without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force, if there is one.
    pub const fn in_force(&self) -> Option<&Arc<ConfigSnapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the revision in force, or 0 when there is none.
    pub fn revision(&self) -> Revision {
        self.in_force
            .as_ref()
            .map_or(Revision::default(), |s| s.head().revision)
    }

    /// Raises the minimum revision to one that is in force at another process. Older configurations
    /// are ignored from now on, so that a newly started process does not apply the configuration of
    /// an outdated peer. Shards that were collected for an older head are kept for the next head.
    pub fn raise_min_revision(&mut self, revision: Revision) {
        self.min_revision = self.min_revision.max(revision);
    }

    /// Returns the highest revision that has been received or announced by another process.
    pub fn newest_known_revision(&self) -> Revision {
        let pending = self.pending.as_ref().map(|p| p.head().revision);
        let newest = self.revision().max(self.min_revision);
        pending.map_or(newest, |revision| newest.max(revision))
    }

    /// Returns the digests of the shards that the newest head still lacks, in ascending order.
    pub fn missing_shards(&self) -> Vec<Digest> {
        self.pending
            .as_ref()
            .map_or(Vec::new(), Pending::missing_digests)
    }

    /// Applies a head, whose shards are then collected if it is newer than all previous ones.
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
        Ok(self.try_activate())
    }

    /// Applies a shard of the newest head. Other shards are ignored.
    pub fn apply_shard(&mut self, encoded: &str) -> Result<ApplyResult> {
        let Some(pending) = &mut self.pending else {
            return Ok(ApplyResult::Ignored);
        };
        if !pending.is_missing(Digest::of(encoded.as_bytes())) {
            return Ok(ApplyResult::Ignored);
        }
        pending.insert(Shard::decode(encoded)?)?;
        Ok(self.try_activate())
    }

    /// Applies an update that a peer has sent.
    ///
    /// Returns [`Error::DeltaBaseMismatch`] if a delta does not start at the revision in force.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> Result<ApplyResult> {
        let (head, shards) = match update {
            ConfigUpdate::Full(full) => (full.head, full.shards),
            ConfigUpdate::Delta(delta) if delta.revision <= self.revision() => {
                return Ok(ApplyResult::Ignored);
            }
            ConfigUpdate::Delta(delta) => delta.apply_to(self.in_force.as_deref())?,
        };
        let mut result = self.apply_head(head)?;
        for shard in &shards {
            match self.apply_shard(shard)? {
                ApplyResult::Ignored => {}
                newer => result = newer,
            }
        }
        Ok(result)
    }

    /// Returns the update for a process that has `revision` in force, or `None` if that process is
    /// up to date.
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

    /// Returns the content of the shards in force that have one of these digests, up to a total of
    /// [`MAX_UPDATE_BYTES`].
    pub fn shards(&self, digests: &[Digest]) -> Vec<Box<str>> {
        let snapshot = self.in_force.as_deref();
        snapshot.map_or(Vec::new(), |s| update::collect_shards(s, digests))
    }

    fn check_conflict(&self, head: &ConfigHead) -> Result<()> {
        let in_force = self.in_force.as_deref().map(ConfigSnapshot::head);
        let pending = self.pending.as_ref().map(Pending::head);
        let conflicts =
            |other: &ConfigHead| other.revision == head.revision && other.edit_id != head.edit_id;
        if in_force.is_some_and(conflicts) || pending.is_some_and(conflicts) {
            let revision = head.revision;
            return Err(Error::RevisionConflict {
                revision: revision.get(),
            });
        }
        Ok(())
    }

    /// Brings the pending configuration into force if it is complete and not too old.
    fn try_activate(&mut self) -> ApplyResult {
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
                let missing = pending.missing_count();
                self.pending = Some(*pending);
                ApplyResult::MissingShards(missing)
            }
        }
    }
}
