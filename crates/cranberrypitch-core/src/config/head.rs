//! The head of a configuration, which names its shards.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::config::digest::Digest;
use crate::config::shard_count::ShardCount;
use crate::config::text::Deployment;
use crate::errors::{Error, Result};
use crate::ids::{EditId, Revision};

/// The earlier edits that a head names. An operator whose answer was lost finds its edit here as
/// long as no more than this many edits followed it.
pub const MAX_PREVIOUS_EDITS: usize = 16;

/// The head of a configuration. It takes effect as a whole, after all its shards are in place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "EncodedHead", into = "EncodedHead")]
pub struct ConfigHead {
    /// The number of this configuration.
    pub revision: Revision,
    /// The edit that made it.
    pub edit_id: EditId,
    /// The edits that made the configurations before it, the latest first.
    pub previous_edits: Vec<EditId>,
    /// What is said about the deployment as a whole.
    pub deployment: Deployment,
    /// The digests of the shards; the position in the list is the shard's index.
    pub shards: Box<[Digest]>,
}

/// The head as it is written: the digests are one string, which takes a third of the space of a
/// list of objects and is read far faster.
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
    /// Returns the number of shards.
    pub fn shard_count(&self) -> Result<ShardCount> {
        ShardCount::try_new(self.shards.len())
    }

    /// Returns the digest over the digests of all shards.
    pub fn shards_digest(&self) -> Digest {
        Digest::of(&flatten(&self.shards))
    }

    /// Encodes the head for the store.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(|e| Error::malformed("head", &e))
    }

    /// Decodes a head.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|e| Error::malformed("head", &e))
    }

    /// Returns whether this configuration or one of those before it came from an edit, or `None`
    /// when the head no longer names the edits since `revision`.
    pub fn contains_edit(&self, edit: EditId, revision: Revision) -> Option<bool> {
        if self.edit_id == edit || self.previous_edits.contains(&edit) {
            return Some(true);
        }
        let known = 1 + self.previous_edits.len() as u64;
        let oldest_known = (self.revision.get() + 1).saturating_sub(known);
        (revision.get() >= oldest_known).then_some(false)
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
            return Err(Error::malformed("head", &"a digest is cut short"));
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
