//! A complete configuration.

use std::sync::Arc;

use crate::config::{ConfigHead, ConfigText, ServiceConfig, Shard, ShardCount};
use crate::ids::{ServiceName, ServiceTag};

/// A complete configuration. Successive snapshots share their unchanged shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSnapshot {
    head: ConfigHead,
    count: ShardCount,
    shards: Box<[Arc<Shard>]>,
}

impl ConfigSnapshot {
    /// Returns a snapshot. The shards must have been checked against the head.
    pub(super) const fn new(
        head: ConfigHead,
        count: ShardCount,
        shards: Box<[Arc<Shard>]>,
    ) -> Self {
        Self {
            head,
            count,
            shards,
        }
    }

    /// Returns the head, which contains the revision.
    pub const fn head(&self) -> &ConfigHead {
        &self.head
    }

    /// Returns the shards in the order of their indexes.
    pub const fn shards(&self) -> &[Arc<Shard>] {
        &self.shards
    }

    /// Returns the number of shards.
    pub const fn shard_count(&self) -> ShardCount {
        self.count
    }

    /// Returns the service with this name, if there is one.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        let shard = self.shard_of(ServiceTag::of(name));
        shard.iter().find(|s| s.name == *name)
    }

    /// Returns the service with this tag, if there is one.
    pub fn service_by_tag(&self, tag: ServiceTag) -> Option<&ServiceConfig> {
        self.shard_of(tag).iter().find(|s| s.tag() == tag)
    }

    /// Returns all services in the order of their shards.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.shards.iter().flat_map(|shard| shard.services())
    }

    /// Returns the configuration text, with the services sorted by name.
    pub fn text(&self) -> ConfigText {
        let mut services: Vec<_> = self.services().cloned().collect();
        services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        ConfigText {
            deployment: self.head.deployment.clone(),
            services,
        }
    }

    fn shard_of(&self, tag: ServiceTag) -> &[ServiceConfig] {
        self.shards[self.count.index_of(tag)].services()
    }
}
