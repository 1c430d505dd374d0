//! What one process sends another to bring its configuration up to date.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::acceptance::snapshot::ConfigSnapshot;
use crate::collections::FastMap;
use crate::config::{ConfigHead, Deployment, Digest, Shard};
use crate::errors::{Error, Result};
use crate::ids::{EditId, Revision};

/// The shards that one answer carries, in bytes. The receiver asks for the rest by digest.
pub const MAX_UPDATE_BYTES: usize = 256 * 1024;

/// An answer to a process that has an older revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The shards that changed.
    Delta(ConfigDelta),
    /// The whole head with as many shards as one answer carries.
    Full(FullUpdate),
}

impl ConfigUpdate {
    /// Returns the revision that the update leads to.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Delta(delta) => delta.revision,
            Self::Full(full) => full.head.revision,
        }
    }
}

/// The step from one configuration to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// The revision that the receiver has in force.
    #[serde(rename = "b")]
    pub base: Revision,
    /// The revision that the delta leads to.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The edit that made it.
    #[serde(rename = "e")]
    pub edit_id: EditId,
    /// What is said about the deployment as a whole.
    #[serde(rename = "d")]
    pub deployment: Deployment,
    /// The index and content of the shards that changed.
    #[serde(rename = "c")]
    pub changed: Vec<(u32, Box<str>)>,
    /// The digest over the digests of all shards.
    #[serde(rename = "g")]
    pub shards_digest: Digest,
}

/// A whole head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FullUpdate {
    /// The head.
    pub head: ConfigHead,
    /// The content of some or all shards.
    pub shards: Vec<Box<str>>,
}

impl ConfigDelta {
    /// Collects the changed shards, or returns `None` when they don't fit one answer.
    pub(super) fn collect(
        base: Revision,
        changed: &BTreeSet<usize>,
        snapshot: &ConfigSnapshot,
    ) -> Option<Self> {
        let mut shards = Vec::with_capacity(changed.len());
        let mut len_bytes = 0;
        for &index in changed {
            let encoded = snapshot.shards()[index].encoded();
            len_bytes += encoded.len();
            shards.push((u32::try_from(index).ok()?, encoded.into()));
        }
        let head = snapshot.head();
        (len_bytes <= MAX_UPDATE_BYTES).then(|| Self {
            base,
            revision: head.revision,
            edit_id: head.edit_id,
            deployment: head.deployment.clone(),
            changed: shards,
            shards_digest: head.shards_digest(),
        })
    }

    /// Returns the head that the delta leads to, and the shards that changed.
    pub(super) fn apply_to(
        self,
        snapshot: Option<&ConfigSnapshot>,
    ) -> Result<(ConfigHead, Vec<Box<str>>)> {
        let in_force = snapshot.map_or(Revision::default(), |s| s.head().revision);
        let Some(snapshot) = snapshot.filter(|_| in_force == self.base) else {
            let base = self.base;
            return Err(Error::DeltaBaseMismatch { base, in_force });
        };
        let mut digests = snapshot.head().shards.clone();
        let count = digests.len();
        for (index, encoded) in &self.changed {
            let slot = digests.get_mut(*index as usize);
            *slot.ok_or(Error::InvalidShardCount { count })? = Digest::of(encoded.as_bytes());
        }
        let head = ConfigHead {
            revision: self.revision,
            edit_id: self.edit_id,
            previous_edits: Vec::new(),
            deployment: self.deployment,
            shards: digests,
        };
        let (expected, found) = (self.shards_digest, head.shards_digest());
        if expected != found {
            return Err(Error::DigestMismatch { expected, found });
        }
        Ok((head, self.changed.into_iter().map(|(_, s)| s).collect()))
    }
}

impl FullUpdate {
    pub(super) fn collect(snapshot: &ConfigSnapshot) -> Self {
        let digests = &snapshot.head().shards;
        Self {
            head: snapshot.head().clone(),
            shards: collect_shards(snapshot, digests),
        }
    }
}

/// Returns the content of the named shards that the snapshot holds, up to the limit of one answer.
pub(super) fn collect_shards(snapshot: &ConfigSnapshot, digests: &[Digest]) -> Vec<Box<str>> {
    let held = snapshot.shards().iter();
    let held: FastMap<Digest, &Shard> = held.map(|s| (s.digest(), &**s)).collect();
    let mut shards: Vec<Box<str>> = Vec::new();
    let mut len_bytes = 0;
    for digest in digests {
        let Some(shard) = held.get(digest) else {
            continue;
        };
        len_bytes += shard.encoded().len();
        if len_bytes > MAX_UPDATE_BYTES && !shards.is_empty() {
            break;
        }
        shards.push(shard.encoded().into());
    }
    shards
}
