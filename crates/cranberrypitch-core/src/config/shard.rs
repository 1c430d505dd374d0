//! Shards: parts of a text that are named by their content.

use std::sync::Arc;

use crate::config::digest::Digest;
use crate::config::head::ConfigHead;
use crate::config::shard_count::ShardCount;
use crate::config::text::{ConfigText, ServiceConfig};
use crate::errors::{Error, Result};

/// The longest shard. A value of the store holds 1 MB.
pub const MAX_SHARD_BYTES: usize = 512 * 1024;

const EMPTY: &str = "[]";

/// The services whose tags fall into one shard, in the order of their names.
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
            digest: Digest::of(EMPTY.as_bytes()),
            encoded: EMPTY.into(),
            services: Box::default(),
        }
    }

    /// Returns the shard with these services, which stand in the order of their names.
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

    /// Decodes a shard. The content is kept as it came, so that it is passed on with its digest.
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

    /// Returns the digest of the content.
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the content.
    pub fn encoded(&self) -> &str {
        &self.encoded
    }

    /// Returns the services.
    pub fn services(&self) -> &[ServiceConfig] {
        &self.services
    }

    /// Checks that each service belongs into the shard with this index.
    pub fn check_index(&self, index: usize, count: ShardCount) -> Result<()> {
        let stray = |s: &&ServiceConfig| count.index_of(s.tag()) != index;
        match self.services.iter().find(stray) {
            Some(service) => Err(Error::WrongShard {
                service: service.name.clone(),
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

/// Splits a text into shards; the position in the list is the shard's index.
pub fn split(text: &ConfigText, count: ShardCount) -> Result<Vec<Arc<Shard>>> {
    split_services(text.services.iter().cloned(), count)
}

/// Splits services that come in the order of their names.
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

/// Assembles the text from a head and its shards, and checks each digest.
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
            return Err(Error::DigestMismatch { expected, found });
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
