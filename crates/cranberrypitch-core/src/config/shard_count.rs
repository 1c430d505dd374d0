//! The number of shards of a text.

use derive_more::Display;

use crate::errors::{Error, Result};
use crate::ids::ServiceTag;

/// The mean length that the number of shards aims for. A change of one service sends one shard to
/// each process, so a shard is kept to a fraction of what a link may carry in a second.
pub const SHARD_TARGET_BYTES: usize = 4096;

/// A number of shards, which is a power of two.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardCount(usize);

impl ShardCount {
    /// The greatest number of shards: the head names them all in one value of the store.
    pub const MAX: usize = 32_768;

    /// One shard.
    pub const ONE: Self = Self(1);

    /// Returns the number after a check of its form.
    pub const fn try_new(count: usize) -> Result<Self> {
        if count.is_power_of_two() && count <= Self::MAX {
            Ok(Self(count))
        } else {
            Err(Error::InvalidShardCount { count })
        }
    }

    /// Returns the value.
    pub const fn get(self) -> usize {
        self.0
    }

    /// Returns the shard that a service belongs into.
    pub const fn index_of(self, tag: ServiceTag) -> usize {
        tag.get() as usize & (self.0 - 1)
    }

    /// Chooses the number for a text of this size. The number in use is kept while its mean shard is
    /// within a factor of four of the target, as another number changes every shard at once.
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
