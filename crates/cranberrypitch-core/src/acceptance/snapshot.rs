//! A configuration that is in force.

use std::sync::Arc;

use crate::config::{ConfigHead, ConfigText, ServiceConfig, Shard, ShardCount};
use crate::ids::{ServiceName, ServiceTag};

/// A complete configuration. Successive ones share the shards that did not change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSnapshot {
    head: ConfigHead,
    count: ShardCount,
    shards: Box<[Arc<Shard>]>,
}

impl ConfigSnapshot {
    /// The caller has checked the shards against the head.
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

    /// Returns the head.
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

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        let shard = self.shard_of(ServiceTag::of(name));
        shard.iter().find(|s| s.name == *name)
    }

    /// Returns the service with this tag.
    pub fn service_by_tag(&self, tag: ServiceTag) -> Option<&ServiceConfig> {
        self.shard_of(tag).iter().find(|s| s.tag() == tag)
    }

    /// Returns all services, shard by shard.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.shards.iter().flat_map(|shard| shard.services())
    }

    /// Returns the text.
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
