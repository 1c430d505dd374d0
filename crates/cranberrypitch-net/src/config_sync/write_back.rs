//! Writes the configuration in force back to a store that was restored from an older copy.

use std::sync::Arc;

use cranberrypitch_core::acceptance::ConfigSnapshot;
use cranberrypitch_core::config::{ConfigEdit, ConfigHead};

use crate::config_store::Result;
use crate::config_writes::{expected_version, write_head, write_shard};
use crate::store::{Store, Version};

/// Returns whether the store has lost the configuration in force: a read that began after the
/// configuration came into force found an earlier one, or none. An edit that another one was made
/// from is earlier; anything else may be a later edit of the restored configuration.
pub(super) fn is_lost(in_force: &ConfigHead, found: Option<&ConfigHead>) -> bool {
    found.is_none_or(|found| in_force.is_made_from(found))
}

/// Writes the shards and the head of `snapshot`, unless the head in the store has changed since `found`
/// was read.
pub(super) async fn write_back<S: Store>(
    store: &S,
    snapshot: &Arc<ConfigSnapshot>,
    found: Option<&(ConfigHead, Version)>,
) -> Result<()> {
    let edit = ConfigEdit {
        head: snapshot.head().clone(),
        shards: snapshot.shards().to_vec(),
    };
    for shard in edit.new_shards(found.map(|(head, _)| head)) {
        write_shard(store, &shard).await?;
    }
    let expected = expected_version(found.map(|(_, version)| *version));
    write_head(store, &edit.head, expected).await
}
