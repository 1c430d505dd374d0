//! Shards: parts of a configuration text that are identified by the digest of their content.

use std::sync::Arc;

use crate::config::digest::Digest;
use crate::config::head::ConfigHead;
use crate::config::shard_count::ShardCount;
use crate::config::text::{ConfigText, ServiceConfig};
use crate::errors::{Error, Result};

/// The maximum length of an encoded shard, in bytes. A value of the store can hold 1 MB.
pub const MAX_SHARD_BYTES: usize = 512 * 1024;

const EMPTY_LIST: &str = "[]";

/// The services whose tags belong to one shard, in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    digest: Digest,
    encoded: Box<str>,
    services: Box<[ServiceConfig]>,
}

impl Shard {
    /// Returns the shard without services.
    pub fn empty() -> Self {
        Self {
            digest: Digest::of(EMPTY_LIST.as_bytes()),
            encoded: EMPTY_LIST.into(),
            services: Box::default(),
        }
    }

    /// Returns a shard with these services, which must be in the order of their names. Returns
    /// [`Error::ShardTooLong`] if the encoded shard exceeds [`MAX_SHARD_BYTES`].
    pub fn try_new(services: Box<[ServiceConfig]>) -> Result<Self> {
        let encoded =
            serde_json::to_string(&services).map_err(|e| Error::malformed("shard", &e))?;
        check_len(&encoded)?;
        Ok(Self {
            digest: Digest::of(encoded.as_bytes()),
            encoded: encoded.into(),
            services,
        })
    }

    /// Decodes a shard. The encoded content is kept unchanged, so that its digest stays the same when
    /// it is passed on.
    pub fn decode(encoded: &str) -> Result<Self> {
        check_len(encoded)?;
        let services: Box<[ServiceConfig]> =
            serde_json::from_str(encoded).map_err(|e| Error::malformed("shard", &e))?;
        Ok(Self {
            digest: Digest::of(encoded.as_bytes()),
            encoded: encoded.into(),
            services,
        })
    }

    /// Returns the digest of the encoded content.
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the content, which is a JSON list of services.
    pub fn encoded(&self) -> &str {
        &self.encoded
    }

    /// Returns the services in the order of their names.
    pub fn services(&self) -> &[ServiceConfig] {
        &self.services
    }

    /// Returns [`Error::WrongShard`] unless all services belong to the shard with this index.
    pub fn check_index(&self, index: usize, count: ShardCount) -> Result<()> {
        let is_misplaced = |s: &&ServiceConfig| count.index_of(s.tag()) != index;
        match self.services.iter().find(is_misplaced) {
            Some(service) => Err(Error::WrongShard {
                service: service.name.as_str().into(),
                index,
            }),
            None => Ok(()),
        }
    }
}

fn check_len(encoded: &str) -> Result<()> {
    if encoded.len() > MAX_SHARD_BYTES {
        return Err(Error::ShardTooLong {
            len_bytes: encoded.len(),
            limit_bytes: MAX_SHARD_BYTES,
        });
    }
    Ok(())
}

/// Splits a text into shards, which are returned in the order of their indexes.
pub fn split(text: &ConfigText, count: ShardCount) -> Result<Vec<Arc<Shard>>> {
    split_services(text.services.iter().cloned(), count)
}

/// Splits services, which must be in the order of their names, into shards.
pub(crate) fn split_services(
    services: impl Iterator<Item = ServiceConfig>,
    count: ShardCount,
) -> Result<Vec<Arc<Shard>>> {
    let mut parts = vec![Vec::new(); count.get()];
    for service in services {
        parts[count.index_of(service.tag())].push(service);
    }
    let shards = parts.into_iter().map(|part| Shard::try_new(part.into()));
    shards.map(|shard| shard.map(Arc::new)).collect()
}

/// Assembles the text of a head and its shards.
///
/// Returns an error if the number of shards, a digest or the shard of a service is wrong.
pub fn assemble(head: &ConfigHead, shards: &[Arc<Shard>]) -> Result<ConfigText> {
    let count = head.shard_count()?;
    if shards.len() != count.get() {
        return Err(Error::InvalidShardCount {
            count: shards.len(),
        });
    }
    let mut services = Vec::new();
    for (index, (shard, expected)) in shards.iter().zip(&head.shards).enumerate() {
        let found = shard.digest();
        if found != *expected {
            let expected = *expected;
            return Err(Error::digest_mismatch(expected, found));
        }
        shard.check_index(index, count)?;
        services.extend(shard.services().iter().cloned());
    }
    services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    Ok(ConfigText {
        deployment: head.deployment.clone(),
        services,
    })
}
