//! The head and shards that an edit of the configuration writes.

use std::sync::Arc;

use crate::collections::FastSet;
use crate::config::digest::Digest;
use crate::config::head::{ConfigHead, MAX_PREVIOUS_EDITS};
use crate::config::shard::{Shard, split};
use crate::config::shard_count::ShardCount;
use crate::config::text::ConfigText;
use crate::errors::{Error, Result};
use crate::ids::{EditId, Revision};

/// A new configuration that is ready to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigEdit {
    /// The head, which is written after all shards.
    pub head: ConfigHead,
    /// All shards in the order of their indexes.
    pub shards: Vec<Arc<Shard>>,
}

impl ConfigEdit {
    /// Returns the edit that replaces the configuration of the `current` head by `text`.
    pub fn plan(text: &ConfigText, current: Option<&ConfigHead>, id: EditId) -> Result<Self> {
        let in_use = current.map(ConfigHead::shard_count).transpose()?;
        let count = ShardCount::choose(encoded_len(text)?, in_use);
        Self::with_shard_count(text, current, id, count)
    }

    /// Returns the edit with a given number of shards instead of the one chosen for the text.
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

    /// Returns the edit with a revision that is higher by `count`.
    #[must_use]
    pub fn skipping_revisions(mut self, count: u64) -> Self {
        self.head.revision = Revision::new(self.head.revision.get() + count);
        self
    }

    /// Returns the shards that the `current` head does not contain. Empty shards are left out, as
    /// every process has the empty shard already.
    pub fn new_shards(&self, current: Option<&ConfigHead>) -> Vec<Arc<Shard>> {
        let present = digests(current);
        let is_new = |s: &&Arc<Shard>| !s.services().is_empty() && !present.contains(&s.digest());
        self.shards.iter().filter(is_new).cloned().collect()
    }

    /// Returns the digests of the shards of the `current` head that this edit no longer contains, in
    /// ascending order.
    pub fn obsolete_shards(&self, current: Option<&ConfigHead>) -> Vec<Digest> {
        let kept = digests(Some(&self.head));
        let empty = Shard::empty().digest();
        let mut obsolete = digests(current);
        obsolete.retain(|d| *d != empty && !kept.contains(d));
        let mut obsolete: Vec<_> = obsolete.into_iter().collect();
        obsolete.sort_unstable();
        obsolete
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
