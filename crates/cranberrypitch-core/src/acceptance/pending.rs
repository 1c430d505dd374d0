//! A newer configuration whose shards have not all arrived.

use std::sync::Arc;

use crate::acceptance::snapshot::ConfigSnapshot;
use crate::collections::FastMap;
use crate::config::{ConfigHead, Digest, Shard, ShardCount, split};
use crate::errors::Result;

/// A head with the shards that are available so far.
#[derive(Debug)]
pub(super) struct Pending {
    head: ConfigHead,
    count: ShardCount,
    shards: Vec<Option<Arc<Shard>>>,
    missing: FastMap<Digest, usize>,
}

impl Pending {
    /// Returns a pending configuration that contains the shards already available: those in force
    /// and those that arrived for an older head that was never completed.
    pub(super) fn try_new(
        head: ConfigHead,
        in_force: Option<&ConfigSnapshot>,
        older: Option<Self>,
    ) -> Result<Self> {
        let count = head.shard_count()?;
        let empty = Arc::new(Shard::empty());
        let mut available: FastMap<Digest, Arc<Shard>> = FastMap::default();
        available.insert(empty.digest(), empty);
        let mut pending = Self {
            shards: vec![None; count.get()],
            missing: FastMap::default(),
            head,
            count,
        };
        for shard in older.into_iter().flat_map(|p| p.shards).flatten() {
            available.insert(shard.digest(), shard);
        }
        let in_force = shards_in_force(in_force, count)?;
        for index in 0..count.get() {
            pending.fill(index, in_force.get(index), &available);
        }
        Ok(pending)
    }

    /// Fills in the shard at `index` if it is available, and records it as missing otherwise. A
    /// shard that is in force at the same index has already been checked.
    fn fill(
        &mut self,
        index: usize,
        in_force: Option<&Arc<Shard>>,
        available: &FastMap<Digest, Arc<Shard>>,
    ) {
        let digest = self.head.shards[index];
        let belongs_here = |s: &&Arc<Shard>| s.check_index(index, self.count).is_ok();
        let found = in_force
            .filter(|shard| shard.digest() == digest)
            .or_else(|| available.get(&digest).filter(belongs_here));
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

    pub(super) fn is_missing(&self, digest: Digest) -> bool {
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

    /// Inserts a shard if it is missing.
    pub(super) fn insert(&mut self, shard: Shard) -> Result<()> {
        let digest = shard.digest();
        if let Some(&index) = self.missing.get(&digest) {
            shard.check_index(index, self.count)?;
            self.shards[index] = Some(Arc::new(shard));
            self.missing.remove(&digest);
        }
        Ok(())
    }

    /// Returns the configuration if it is complete, and the unchanged pending one otherwise.
    pub(super) fn finish(self) -> std::result::Result<ConfigSnapshot, Box<Self>> {
        if !self.missing.is_empty() || self.shards.iter().any(Option::is_none) {
            return Err(Box::new(self));
        }
        let shards = self.shards.into_iter().flatten().collect();
        Ok(ConfigSnapshot::new(self.head, self.count, shards))
    }
}

/// Returns the services in force, split into `count` shards. After a change of the number of shards,
/// only the shards with changed services then have to be fetched.
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
