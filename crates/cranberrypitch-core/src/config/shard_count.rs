//! The number of shards of a configuration text.

use derive_more::Display;

use crate::errors::{Error, Result};
use crate::ids::ServiceTag;

/// The mean length of a shard, in bytes, for which the number of shards is chosen. A change of one
/// service sends one shard to each process, so a shard should be a small fraction of what a link can
/// carry in a second.
pub const SHARD_TARGET_BYTES: usize = 4096;

/// A number of shards, which is a power of two.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardCount(usize);

impl ShardCount {
    /// The maximum number of shards. The digests of all shards must fit into one value of the store.
    pub const MAX: usize = 32_768;

    /// One shard.
    pub const ONE: Self = Self(1);

    /// Returns the number, or [`Error::InvalidShardCount`] unless it is a power of two up to
    /// [`ShardCount::MAX`].
    pub const fn try_new(count: usize) -> Result<Self> {
        if count.is_power_of_two() && count <= Self::MAX {
            Ok(Self(count))
        } else {
            Err(Error::InvalidShardCount { count })
        }
    }

    /// Returns the number of shards as an integer.
    pub const fn get(self) -> usize {
        self.0
    }

    /// Returns the index of the shard to which the service with this tag belongs.
    pub const fn index_of(self, tag: ServiceTag) -> usize {
        tag.get() as usize & (self.0 - 1)
    }

    /// Returns the number of shards for a text of `total_bytes`. The number in use is kept as long as
    /// it is within a factor of four of the best one, as another number changes all shards at once.
    pub fn choose(total_bytes: usize, in_use: Option<Self>) -> Self {
        let best = total_bytes
            .div_ceil(SHARD_TARGET_BYTES)
            .next_power_of_two()
            .min(Self::MAX);
        match in_use {
            Some(count) if count.0 <= best * 4 && best <= count.0 * 4 => count,
            _ => Self(best),
        }
    }
}
