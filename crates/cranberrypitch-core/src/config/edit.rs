//! The head and shards that an edit writes.

use std::sync::Arc;

use crate::collections::FastSet;
use crate::config::digest::Digest;
use crate::config::head::{ConfigHead, MAX_PREVIOUS_EDITS};
use crate::config::shard::{Shard, split};
use crate::config::shard_count::ShardCount;
use crate::config::text::ConfigText;
use crate::errors::{Error, Result};
use crate::ids::{EditId, Revision};

/// A new configuration, ready to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigEdit {
    /// The head, which is written last.
    pub head: ConfigHead,
    /// All shards in the order of their indexes.
    pub shards: Vec<Arc<Shard>>,
}

impl ConfigEdit {
    /// Plans the step from the current head to a new text.
    pub fn plan(text: &ConfigText, current: Option<&ConfigHead>, id: EditId) -> Result<Self> {
        let in_use = current.map(ConfigHead::shard_count).transpose()?;
        let count = ShardCount::choose(encoded_len(text)?, in_use);
        Self::with_shard_count(text, current, id, count)
    }

    /// Plans the step with a given number of shards.
    pub fn with_shard_count(
        text: &ConfigText,
        current: Option<&ConfigHead>,
        id: EditId,
        count: ShardCount,
    ) -> Result<Self> {
        let shards = split(text, count)?;
        let head = ConfigHead {
            revision: current.map_or(Revision::default(), |h| h.revision).next(),
            edit_id: id,
            previous_edits: current.map_or(Vec::new(), previous_edits),
            deployment: text.deployment.clone(),
            shards: shards.iter().map(|s| s.digest()).collect(),
        };
        Ok(Self { head, shards })
    }

    /// Returns the shards that a configuration with this head lacks. Empty shards are left out, as
    /// every process has them.
    pub fn new_shards(&self, current: Option<&ConfigHead>) -> Vec<Arc<Shard>> {
        let present = digests(current);
        let lacks = |s: &&Arc<Shard>| !s.services().is_empty() && !present.contains(&s.digest());
        self.shards.iter().filter(lacks).cloned().collect()
    }

    /// Returns the shards of a head that this edit no longer names.
    pub fn obsolete_shards(&self, current: Option<&ConfigHead>) -> Vec<Digest> {
        let kept = digests(Some(&self.head));
        let empty = Shard::empty().digest();
        let mut dropped = digests(current);
        dropped.retain(|d| *d != empty && !kept.contains(d));
        let mut dropped: Vec<_> = dropped.into_iter().collect();
        dropped.sort_unstable();
        dropped
    }
}

fn digests(head: Option<&ConfigHead>) -> FastSet<Digest> {
    head.into_iter()
        .flat_map(|h| h.shards.iter().copied())
        .collect()
}

fn previous_edits(head: &ConfigHead) -> Vec<EditId> {
    let earlier = head.previous_edits.iter().copied();
    let edits = std::iter::once(head.edit_id).chain(earlier);
    edits.take(MAX_PREVIOUS_EDITS).collect()
}

fn encoded_len(text: &ConfigText) -> Result<usize> {
    let encoded = serde_json::to_vec(&text.services).map_err(|e| Error::malformed("text", &e))?;
    Ok(encoded.len())
}
