//! Keys and reads of the configuration in the store.

use cranberrypitch_core::config::{ConfigHead, Digest, Shard};
use cranberrypitch_core::{DeploymentName, Error as CoreError, FailureDomain};
use derive_more::{Display, Error};

use crate::store::{Entry, Error as StoreError, Store, StoreKey, Version};

/// A result of reading the configuration.
pub type Result<T> = std::result::Result<T, Error>;

/// The errors of reading or writing the configuration in the store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// A call to the store failed.
    #[display("{_0}")]
    Store(StoreError),
    /// The content of the store is not a valid configuration.
    #[display("{_0}")]
    Content(CoreError),
    /// A shard is not in the store. A newer edit may have deleted it.
    #[display("no shard {digest} in the store")]
    ShardMissing {
        /// The digest of the shard.
        digest: Digest,
    },
    /// The store holds the configuration of another deployment.
    #[display("the store holds deployment {in_force}, the text is for {given}")]
    DeploymentMismatch {
        /// The deployment in the store.
        in_force: DeploymentName,
        /// The deployment that the text is for.
        given: DeploymentName,
    },
}

impl From<StoreError> for Error {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<CoreError> for Error {
    fn from(error: CoreError) -> Self {
        Self::Content(error)
    }
}

/// Returns the key of the configuration head.
pub fn head_key() -> StoreKey {
    known_valid_key("config/head")
}

/// Returns the key of the last epoch of the store in which an edit was accepted.
pub fn epoch_key() -> StoreKey {
    known_valid_key("config/epoch")
}

/// Returns the key of a shard.
pub fn shard_key(digest: Digest) -> StoreKey {
    known_valid_key(&format!("config/shard/{digest}"))
}

/// Returns the key of a watcher slot of a failure domain.
pub fn watcher_key(domain: &FailureDomain, slot: u32) -> StoreKey {
    known_valid_key(&format!("watch/{domain}/{slot}"))
}

/// Panics if the text is not a valid key. Names and digests consist of characters that keys allow.
fn known_valid_key(text: &str) -> StoreKey {
    StoreKey::try_new(text).expect("names are valid parts of a key")
}

/// Reads the configuration head with the version of its key; `None` before the first edit.
pub async fn read_head<S: Store>(store: &S) -> Result<Option<(ConfigHead, Version)>> {
    let entry = store.get(&head_key()).await?;
    entry.map(|entry| decode_head(&entry)).transpose()
}

/// Decodes the entry of the configuration head.
pub fn decode_head(entry: &Entry) -> Result<(ConfigHead, Version)> {
    Ok((ConfigHead::decode(&entry.value)?, entry.version))
}

/// Reads a shard and checks its digest. Fails with [`Error::ShardMissing`] if it is not there.
pub async fn read_shard<S: Store>(store: &S, digest: Digest) -> Result<Shard> {
    if digest == Shard::empty().digest() {
        return Ok(Shard::empty());
    }
    let Some(entry) = store.get(&shard_key(digest)).await? else {
        return Err(Error::ShardMissing { digest });
    };
    let text = std::str::from_utf8(&entry.value);
    let text = text.map_err(|e| CoreError::malformed("shard", &e))?;
    let shard = Shard::decode(text)?;
    let found = shard.digest();
    if found != digest {
        let expected = digest;
        return Err(CoreError::digest_mismatch(expected, found).into());
    }
    Ok(shard)
}
