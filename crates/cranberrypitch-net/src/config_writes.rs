//! Writes of the configuration to the store.

use std::sync::Arc;

use bytes::Bytes;
use cranberrypitch_core::config::{ConfigHead, Shard};

use crate::config_store::{Result, head_key, shard_key};
use crate::store::{Error as StoreError, ExpectedVersion, Put, Store, Version};

/// Writes a shard. One that already exists is written again to change its version, so that an earlier
/// edit that made it obsolete no longer deletes it.
pub(crate) async fn write_shard<S: Store>(store: &S, shard: &Arc<Shard>) -> Result<()> {
    const MAX_ATTEMPTS: usize = 8;
    let mut expected = ExpectedVersion::Absent;
    let mut outcome = Ok(());
    for _ in 0..MAX_ATTEMPTS {
        let put = Put {
            key: shard_key(shard.digest()),
            value: Bytes::copy_from_slice(shard.encoded().as_bytes()),
            expected,
            lease: None,
        };
        match store.put(put).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { current }) => {
                expected = expected_version(current);
                outcome = Err(StoreError::Conflict { current }.into());
            }
            Err(error @ StoreError::OutcomeUnknown { .. }) => outcome = Err(error.into()),
            Err(error) => return Err(error.into()),
        }
    }
    outcome
}

/// Writes the head, which puts its shards in force.
pub(crate) async fn write_head<S: Store>(
    store: &S,
    head: &ConfigHead,
    expected: ExpectedVersion,
) -> Result<()> {
    let put = Put {
        key: head_key(),
        value: head.encode()?.into(),
        expected,
        lease: None,
    };
    store.put(put).await?;
    Ok(())
}

/// Returns the precondition that a key still has this version, or does not exist.
pub(crate) fn expected_version(current: Option<Version>) -> ExpectedVersion {
    current.map_or(ExpectedVersion::Absent, ExpectedVersion::Version)
}
