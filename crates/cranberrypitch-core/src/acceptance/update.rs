//! Updates by which one process brings the configuration of another up to date.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::acceptance::snapshot::ConfigSnapshot;
use crate::collections::FastMap;
use crate::config::{ConfigHead, Deployment, Digest, Shard};
use crate::errors::{Error, Result};
use crate::ids::{EditId, Revision};

/// The maximum total size of the shards in one update, in bytes. The receiver requests further
/// shards by their digests.
pub const MAX_UPDATE_BYTES: usize = 256 * 1024;

/// An update for a process that has an older revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// All shards that changed since the receiver's revision.
    Delta(ConfigDelta),
    /// A complete head, with as many shards as fit into one update.
    Full(FullUpdate),
}

impl ConfigUpdate {
    /// Returns the revision that is in force after the update.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Delta(delta) => delta.revision,
            Self::Full(full) => full.head.revision,
        }
    }
}

/// The difference between one configuration and a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// The revision that the receiver must have in force.
    #[serde(rename = "b")]
    pub base: Revision,
    /// The revision that is in force after the update.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The edit that created this revision.
    #[serde(rename = "e")]
    pub edit_id: EditId,
    /// The settings of the deployment as a whole.
    #[serde(rename = "d")]
    pub deployment: Deployment,
    /// The index and content of each changed shard.
    #[serde(rename = "c")]
    pub changed: Vec<(u32, Box<str>)>,
    /// The digest of the concatenated digests of all shards.
    #[serde(rename = "g")]
    pub shards_digest: Digest,
}

/// A complete head with some or all of its shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FullUpdate {
    /// The head.
    pub head: ConfigHead,
    /// The content of some or all shards.
    pub shards: Vec<Box<str>>,
}

impl ConfigDelta {
    /// Returns the delta with the changed shards, or `None` if they exceed [`MAX_UPDATE_BYTES`].
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

    /// Returns the head that results from applying the delta to `snapshot`, and the changed shards.
    pub(super) fn apply_to(
        self,
        snapshot: Option<&ConfigSnapshot>,
    ) -> Result<(ConfigHead, Vec<Box<str>>)> {
        let in_force = snapshot.map_or(Revision::default(), |s| s.head().revision);
        let Some(snapshot) = snapshot.filter(|_| in_force == self.base) else {
            let base = self.base;
            return Err(Error::DeltaBaseMismatch {
                base: base.get(),
                in_force: in_force.get(),
            });
        };
        let mut digests = snapshot.head().shards.clone();
        let count = digests.len();
        for (index, encoded) in &self.changed {
            let digest = digests.get_mut(*index as usize);
            *digest.ok_or(Error::InvalidShardCount { count })? = Digest::of(encoded.as_bytes());
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
            return Err(Error::digest_mismatch(expected, found));
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

/// Returns the content of the shards of `snapshot` with these digests, up to [`MAX_UPDATE_BYTES`] in
/// total, but at least one.
pub(super) fn collect_shards(snapshot: &ConfigSnapshot, digests: &[Digest]) -> Vec<Box<str>> {
    let available = snapshot.shards().iter();
    let by_digest: FastMap<Digest, &Shard> = available.map(|s| (s.digest(), &**s)).collect();
    let mut shards: Vec<Box<str>> = Vec::new();
    let mut len_bytes = 0;
    for digest in digests {
        let Some(shard) = by_digest.get(digest) else {
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
