//! The peers that a process learns its configuration from.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cranberrypitch_core::Revision;
use cranberrypitch_core::acceptance::{ConfigReplica, ConfigSnapshot, ConfigUpdate};
use cranberrypitch_core::config::Digest;
use derive_more::{Display, Error};
use tokio::sync::{Notify, watch};

/// Why a peer did not answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("peer does not answer: {detail}")]
pub struct PeerError {
    /// What went wrong.
    pub detail: Box<str>,
}

/// A result of a call to a peer.
pub type PeerResult<T> = Result<T, PeerError>;

/// A process that may know a newer configuration.
pub trait ConfigPeer: Send + Sync {
    /// Returns the revision in force at the peer, or 0 when there is none.
    fn revision(&self) -> impl Future<Output = PeerResult<Revision>> + Send;

    /// Returns what leads from `revision` to what is in force at the peer, or `None` when the peer
    /// has nothing newer.
    fn fetch_since(
        &self,
        revision: Revision,
    ) -> impl Future<Output = PeerResult<Option<ConfigUpdate>>> + Send;

    /// Returns the content of the shards that the peer has in force; it may return a part of them.
    fn fetch_shards(
        &self,
        digests: &[Digest],
    ) -> impl Future<Output = PeerResult<Vec<Box<str>>>> + Send;
}

/// The peers at hand.
pub trait ConfigPeers: Send + Sync + 'static {
    /// A peer.
    type Peer: ConfigPeer;

    /// Returns up to `count` different peers, other ones from call to call. Those that are known to
    /// have a newer revision than `revision` come first.
    fn pick(&self, count: usize, revision: Revision) -> Vec<Self::Peer>;
}

/// The configuration in force in this process, for its other parts and for its peers.
#[derive(Clone, Debug)]
pub struct ConfigSource {
    acceptance: Arc<Mutex<ConfigReplica>>,
    published: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    newer: Arc<Notify>,
}

impl ConfigSource {
    pub(super) const fn new(
        acceptance: Arc<Mutex<ConfigReplica>>,
        published: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
        newer: Arc<Notify>,
    ) -> Self {
        Self {
            acceptance,
            published,
            newer,
        }
    }

    /// Notes a revision that is in force at a peer, which announcements and heartbeats carry. The
    /// keeper asks its peers at once when it is newer. A process that has nothing in force yet does
    /// not accept an older one any more.
    pub fn note_revision(&self, revision: Revision) {
        let mut acceptance = self.lock();
        if acceptance.in_force().is_none() {
            acceptance.raise_min_revision(revision);
        }
        if revision > acceptance.revision() {
            self.newer.notify_one();
        }
    }

    /// Returns the channel on which each configuration appears as it comes into force.
    pub fn published(&self) -> watch::Receiver<Option<Arc<ConfigSnapshot>>> {
        self.published.clone()
    }

    /// Returns the revision in force, or 0 when there is none.
    pub fn revision(&self) -> Revision {
        self.lock().revision()
    }

    /// Returns what leads a peer from `revision` to what is in force here.
    pub fn update_since(&self, revision: Revision) -> Option<ConfigUpdate> {
        self.lock().update_since(revision)
    }

    /// Returns the content of the shards that are in force here, up to the limit of one answer.
    pub fn shards(&self, digests: &[Digest]) -> Vec<Box<str>> {
        self.lock().shards(digests)
    }

    fn lock(&self) -> MutexGuard<'_, ConfigReplica> {
        self.acceptance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConfigPeer for ConfigSource {
    async fn revision(&self) -> PeerResult<Revision> {
        Ok(Self::revision(self))
    }

    async fn fetch_since(&self, revision: Revision) -> PeerResult<Option<ConfigUpdate>> {
        Ok(self.update_since(revision))
    }

    async fn fetch_shards(&self, digests: &[Digest]) -> PeerResult<Vec<Box<str>>> {
        Ok(self.shards(digests))
    }
}
