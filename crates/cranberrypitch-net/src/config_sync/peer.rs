//! Peers that a process fetches its configuration from.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cranberrypitch_core::Revision;
use cranberrypitch_core::acceptance::{ConfigReplica, ConfigSnapshot, ConfigUpdate};
use cranberrypitch_core::config::Digest;
use derive_more::{Display, Error};
use tokio::sync::{Notify, watch};

/// A failed call to a peer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("call to a peer failed: {detail}")]
pub struct PeerError {
    /// What went wrong.
    pub detail: Box<str>,
}

/// A result of a call to a peer.
pub type PeerResult<T> = Result<T, PeerError>;

/// A process that may have a newer configuration.
pub trait ConfigPeer: Send + Sync {
    /// Returns the revision in force at the peer, or 0 when there is none.
    fn revision(&self) -> impl Future<Output = PeerResult<Revision>> + Send;

    /// Returns the update from `revision` to the configuration in force at the peer, or `None` if
    /// that is not newer.
    fn fetch_since(
        &self,
        revision: Revision,
    ) -> impl Future<Output = PeerResult<Option<ConfigUpdate>>> + Send;

    /// Returns the content of those shards that the peer has in force. It may leave some out to keep
    /// to the size limit of an answer.
    fn fetch_shards(
        &self,
        digests: &[Digest],
    ) -> impl Future<Output = PeerResult<Vec<Box<str>>>> + Send;
}

/// The set of peers that can be queried.
pub trait ConfigPeers: Send + Sync + 'static {
    /// The type of a peer.
    type Peer: ConfigPeer;

    /// Returns up to `count` distinct peers, which vary from call to call. Peers known to have a newer
    /// revision than `revision` come first.
    fn pick(&self, count: usize, revision: Revision) -> Vec<Self::Peer>;
}

/// Read access to the configuration in force in this process, for its other parts and for its peers.
#[derive(Clone, Debug)]
pub struct ConfigSource {
    replica: Arc<Mutex<ConfigReplica>>,
    published: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    newer_revision: Arc<Notify>,
}

impl ConfigSource {
    pub(super) const fn new(
        replica: Arc<Mutex<ConfigReplica>>,
        published: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
        newer_revision: Arc<Notify>,
    ) -> Self {
        Self {
            replica,
            published,
            newer_revision,
        }
    }

    /// Records a revision that is in force at a peer, which announcements and heartbeats carry. If it
    /// is newer, peers are polled at once. A process without a configuration no longer accepts an
    /// older revision afterwards.
    pub fn record_peer_revision(&self, revision: Revision) {
        let mut replica = self.lock_replica();
        if replica.in_force().is_none() {
            replica.raise_min_revision(revision);
        }
        if revision > replica.revision() {
            self.newer_revision.notify_one();
        }
    }

    /// Returns a channel that receives each configuration as it comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<ConfigSnapshot>>> {
        self.published.clone()
    }

    /// Returns the revision in force, or 0 when there is none.
    pub fn revision(&self) -> Revision {
        self.lock_replica().revision()
    }

    /// Returns the update that brings a peer from `revision` to the configuration in force here, or
    /// `None` if that is not newer.
    pub fn update_since(&self, revision: Revision) -> Option<ConfigUpdate> {
        self.lock_replica().update_since(revision)
    }

    /// Returns the content of those shards that are in force here, up to the size limit of one answer.
    pub fn shards(&self, digests: &[Digest]) -> Vec<Box<str>> {
        self.lock_replica().shards(digests)
    }

    fn lock_replica(&self) -> MutexGuard<'_, ConfigReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
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
