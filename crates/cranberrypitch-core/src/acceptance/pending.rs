//! A newer configuration that is not complete yet.

use std::sync::Arc;

use crate::acceptance::snapshot::Snapshot;
use crate::collections::FastMap;
use crate::config::{ConfigHead, Digest, Shard, ShardCount, split};
use crate::errors::Result;

/// A head with the shards that have arrived.
#[derive(Debug)]
pub(super) struct Pending {
    head: ConfigHead,
    count: ShardCount,
    shards: Vec<Option<Arc<Shard>>>,
    lacking: FastMap<Digest, usize>,
}

impl Pending {
    /// Starts with the shards that are at hand: those in force, and those that arrived for an older
    /// head that was never completed.
    pub(super) fn try_new(
        head: ConfigHead,
        in_force: Option<&Snapshot>,
        older: Option<Self>,
    ) -> Result<Self> {
        let count = head.shard_count()?;
        let mut at_hand: FastMap<Digest, Arc<Shard>> = FastMap::default();
        let empty = Arc::new(Shard::empty());
        at_hand.insert(empty.digest(), empty);
        for shard in held_shards(in_force, count)? {
            at_hand.insert(shard.digest(), shard);
        }
        for shard in older.into_iter().flat_map(|p| p.shards).flatten() {
            at_hand.insert(shard.digest(), shard);
        }
        let mut pending = Self {
            shards: vec![None; count.get()],
            lacking: FastMap::default(),
            head,
            count,
        };
        for index in 0..count.get() {
            let digest = pending.head.shards[index];
            let usable = |s: &&Arc<Shard>| s.check_index(index, count).is_ok();
            match at_hand.get(&digest).filter(usable) {
                Some(shard) => pending.shards[index] = Some(Arc::clone(shard)),
                None => {
                    pending.lacking.insert(digest, index);
                }
            }
        }
        Ok(pending)
    }

    pub(super) const fn head(&self) -> &ConfigHead {
        &self.head
    }

    pub(super) fn wants(&self, digest: Digest) -> bool {
        self.lacking.contains_key(&digest)
    }

    pub(super) fn lacking(&self) -> Vec<Digest> {
        let mut digests: Vec<_> = self.lacking.keys().copied().collect();
        digests.sort_unstable();
        digests
    }

    /// Puts in a shard that is wanted.
    pub(super) fn insert(&mut self, shard: Shard) -> Result<()> {
        let digest = shard.digest();
        if let Some(&index) = self.lacking.get(&digest) {
            shard.check_index(index, self.count)?;
            self.shards[index] = Some(Arc::new(shard));
            self.lacking.remove(&digest);
        }
        Ok(())
    }

    /// Returns the configuration when it is complete.
    pub(super) fn finish(self) -> std::result::Result<Snapshot, Box<Self>> {
        if self.shards.iter().any(Option::is_none) {
            return Err(Box::new(self));
        }
        let shards = self.shards.into_iter().flatten().collect();
        Ok(Snapshot::new(self.head, self.count, shards))
    }
}

/// Returns the shards in force for a number of shards. When the number changed, the services in
/// force are split anew, so that only the shards with changed services have to be fetched.
fn held_shards(held: Option<&Snapshot>, count: ShardCount) -> Result<Vec<Arc<Shard>>> {
    match held {
        None => Ok(Vec::new()),
        Some(snapshot) if snapshot.shard_count() == count => Ok(snapshot.shards().to_vec()),
        Some(snapshot) => split(&snapshot.text(), count),
    }
}
