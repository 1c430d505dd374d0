//! The head of a configuration, which lists the digests of its shards.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::config::digest::Digest;
use crate::config::shard_count::ShardCount;
use crate::config::text::Deployment;
use crate::errors::{Error, Result};
use crate::ids::{EditId, Revision};

/// The maximum number of previous edits in a head. If the answer to an edit was lost, the operator
/// can look up the edit in the head as long as at most this many edits have followed.
pub const MAX_PREVIOUS_EDITS: usize = 16;

/// The head of a configuration. The configuration takes effect as a whole when all its shards are
/// available.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "EncodedHead", into = "EncodedHead")]
pub struct ConfigHead {
    /// The revision number of this configuration.
    pub revision: Revision,
    /// The edit that created this revision.
    pub edit_id: EditId,
    /// The edits that created the previous revisions, the latest first; at most
    /// [`MAX_PREVIOUS_EDITS`], and empty if the head was derived from a delta.
    pub previous_edits: Vec<EditId>,
    /// The settings of the deployment as a whole.
    pub deployment: Deployment,
    /// The digests of the shards, in the order of the shard indexes.
    pub shards: Box<[Digest]>,
}

/// The serialised form of a head. All digests are encoded as one string, which takes a third of the
/// space of a list and is decoded much faster.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EncodedHead {
    revision: Revision,
    edit_id: EditId,
    previous_edits: Vec<EditId>,
    deployment: Deployment,
    #[serde_as(as = "Base64")]
    shards: Vec<u8>,
}

impl ConfigHead {
    /// Returns the number of shards, or [`Error::InvalidShardCount`].
    pub fn shard_count(&self) -> Result<ShardCount> {
        ShardCount::try_new(self.shards.len())
    }

    /// Returns the digest of the concatenated digests of all shards.
    pub fn shards_digest(&self) -> Digest {
        Digest::of(&flatten(&self.shards))
    }

    /// Encodes the head as JSON.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(|e| Error::malformed("head", &e))
    }

    /// Decodes a head from JSON, or returns [`Error::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|e| Error::malformed("head", &e))
    }

    /// Returns whether this configuration is known to be made from an earlier one, by one edit or several.
    pub fn is_made_from(&self, earlier: &Self) -> bool {
        let is_later = earlier.revision < self.revision;
        is_later && self.contains_edit(earlier.edit_id, earlier.revision) == Some(true)
    }

    /// Returns whether `edit`, which was to create `revision`, created this revision or a previous
    /// one. Returns `None` if the head no longer lists the edits back to `revision`.
    pub fn contains_edit(&self, edit: EditId, revision: Revision) -> Option<bool> {
        if self.edit_id == edit || self.previous_edits.contains(&edit) {
            return Some(true);
        }
        let listed = 1 + self.previous_edits.len() as u64;
        let oldest_listed = (self.revision.get() + 1).saturating_sub(listed);
        (revision.get() >= oldest_listed).then_some(false)
    }
}

fn flatten(digests: &[Digest]) -> Vec<u8> {
    digests.iter().flat_map(|d| *d.as_bytes()).collect()
}

impl From<ConfigHead> for EncodedHead {
    fn from(head: ConfigHead) -> Self {
        Self {
            shards: flatten(&head.shards),
            revision: head.revision,
            edit_id: head.edit_id,
            previous_edits: head.previous_edits,
            deployment: head.deployment,
        }
    }
}

impl TryFrom<EncodedHead> for ConfigHead {
    type Error = Error;

    fn try_from(head: EncodedHead) -> Result<Self> {
        let (digests, rest) = head.shards.as_chunks::<{ Digest::LEN_BYTES }>();
        if !rest.is_empty() {
            return Err(Error::malformed("head", &"truncated digest"));
        }
        if head.previous_edits.len() > MAX_PREVIOUS_EDITS {
            return Err(Error::malformed("head", &"too many previous edits"));
        }
        ShardCount::try_new(digests.len())?;
        Ok(Self {
            revision: head.revision,
            edit_id: head.edit_id,
            previous_edits: head.previous_edits,
            deployment: head.deployment,
            shards: digests.iter().map(|d| Digest::from_bytes(*d)).collect(),
        })
    }
}
