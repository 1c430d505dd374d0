//! A newer configuration that is not complete yet.

use std::sync::Arc;

use crate::acceptance::snapshot::ConfigSnapshot;
use crate::collections::FastMap;
use crate::config::{ConfigHead, Digest, Shard, ShardCount, split};
use crate::errors::Result;

/// A head with the shards that have arrived.
#[derive(Debug)]
pub(super) struct Pending {
    head: ConfigHead,
    count: ShardCount,
    shards: Vec<Option<Arc<Shard>>>,
    missing: FastMap<Digest, usize>,
}

impl Pending {
    /// Starts with the shards that are at hand: those in force, and those that arrived for an older
    /// head that was never completed.
    pub(super) fn try_new(
        head: ConfigHead,
        in_force: Option<&ConfigSnapshot>,
        older: Option<Self>,
    ) -> Result<Self> {
        let count = head.shard_count()?;
        let empty = Arc::new(Shard::empty());
        let mut at_hand: FastMap<Digest, Arc<Shard>> = FastMap::default();
        at_hand.insert(empty.digest(), empty);
        let mut pending = Self {
            shards: vec![None; count.get()],
            missing: FastMap::default(),
            head,
            count,
        };
        for shard in older.into_iter().flat_map(|p| p.shards).flatten() {
            at_hand.insert(shard.digest(), shard);
        }
        let in_force = shards_in_force(in_force, count)?;
        for index in 0..count.get() {
            pending.fill(index, in_force.get(index), &at_hand);
        }
        Ok(pending)
    }

    /// Fills in a shard that is at hand. One that was in force at the same index has been checked.
    fn fill(
        &mut self,
        index: usize,
        in_force: Option<&Arc<Shard>>,
        at_hand: &FastMap<Digest, Arc<Shard>>,
    ) {
        let digest = self.head.shards[index];
        let usable = |s: &&Arc<Shard>| s.check_index(index, self.count).is_ok();
        let found = in_force
            .filter(|shard| shard.digest() == digest)
            .or_else(|| at_hand.get(&digest).filter(usable));
        match found {
            Some(shard) => self.shards[index] = Some(Arc::clone(shard)),
            None => {
                self.missing.insert(digest, index);
            }
        }
    }

    pub(super) const fn head(&self) -> &ConfigHead {
        &self.head
    }

    pub(super) fn wants(&self, digest: Digest) -> bool {
        self.missing.contains_key(&digest)
    }

    pub(super) fn missing_count(&self) -> usize {
        self.missing.len()
    }

    pub(super) fn missing_digests(&self) -> Vec<Digest> {
        let mut digests: Vec<_> = self.missing.keys().copied().collect();
        digests.sort_unstable();
        digests
    }

    /// Puts in a shard that is wanted.
    pub(super) fn insert(&mut self, shard: Shard) -> Result<()> {
        let digest = shard.digest();
        if let Some(&index) = self.missing.get(&digest) {
            shard.check_index(index, self.count)?;
            self.shards[index] = Some(Arc::new(shard));
            self.missing.remove(&digest);
        }
        Ok(())
    }

    /// Returns the configuration when it is complete.
    pub(super) fn finish(self) -> std::result::Result<ConfigSnapshot, Box<Self>> {
        if !self.missing.is_empty() || self.shards.iter().any(Option::is_none) {
            return Err(Box::new(self));
        }
        let shards = self.shards.into_iter().flatten().collect();
        Ok(ConfigSnapshot::new(self.head, self.count, shards))
    }
}

/// Returns the shards in force for a number of shards. When the number changed, the services in
/// force are split anew, so that only the shards with changed services have to be fetched.
fn shards_in_force(
    in_force: Option<&ConfigSnapshot>,
    count: ShardCount,
) -> Result<Vec<Arc<Shard>>> {
    match in_force {
        None => Ok(Vec::new()),
        Some(snapshot) if snapshot.shard_count() == count => Ok(snapshot.shards().to_vec()),
        Some(snapshot) => split(&snapshot.text(), count),
    }
}
