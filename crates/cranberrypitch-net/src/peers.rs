//! Configuration from other processes, fetched over control sessions.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use bytes::Bytes;
use cranberrypitch_core::acceptance::ConfigUpdate;
use cranberrypitch_core::config::Digest;
use cranberrypitch_core::membership::EvacuatedDomains;
use cranberrypitch_core::{FastMap, Revision};
use cranberrypitch_proto::control::{
    self as wire, BalancerEntry, ConfigHead, ConfigShard, DIGEST_LEN_BYTES, Notice,
};
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::config_sync::{ConfigPeer, ConfigPeers, ConfigSource, PeerError, PeerResult};
use crate::control::{ControlClient, ControlOptions, NoticeStream};
use crate::errors::Result;
use crate::keys::KeyRing;

/// The status that a process reports over the control channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The number of configured services.
    pub services: usize,
    /// The number of known targets, silent ones included.
    pub targets: usize,
    /// The number of live balancers, including this one.
    pub balancers: usize,
    /// The evacuated failure domains.
    #[serde(default)]
    pub evacuated_domains: EvacuatedDomains,
}

/// Forwards announced revisions to `source`, so that a newer configuration is fetched at once.
/// Returns when the sender is dropped.
pub async fn forward_revisions(mut newest: watch::Receiver<Revision>, source: ConfigSource) {
    while newest.changed().await.is_ok() {
        source.record_peer_revision(*newest.borrow_and_update());
    }
}

/// Encodes an update for the control channel. Returns `None` if it can't be encoded.
pub fn encode_update(update: &ConfigUpdate) -> Option<ConfigHead> {
    let mut body = Vec::new();
    ciborium::into_writer(update, &mut body).ok()?;
    Some(ConfigHead {
        revision: update.revision(),
        digest: to_wire_digest(Digest::of(&body)),
        body: body.into(),
    })
}

/// Encodes a shard of the configuration in force, or returns `None` if it has no such shard.
pub fn encode_shard(source: &ConfigSource, digest: wire::Digest) -> Option<ConfigShard> {
    let shard = source.shards(&[from_wire_digest(digest)]).pop()?;
    Some(ConfigShard {
        revision: source.revision(),
        digest,
        body: shard.into_string().into_bytes().into(),
    })
}

/// Returns the notice that announces the revision in force. Peers with an older one fetch the
/// configuration.
pub fn revision_announcement(revision: Revision) -> Notice {
    Notice::ConfigHead(ConfigHead {
        revision,
        digest: to_wire_digest(Digest::of(&[])),
        body: Bytes::new(),
    })
}

fn decode_update(head: &ConfigHead) -> PeerResult<ConfigUpdate> {
    if to_wire_digest(Digest::of(&head.body)) != head.digest {
        return Err(peer_error(&"digest of an update does not match"));
    }
    ciborium::from_reader(head.body.as_ref()).map_err(|e| peer_error(&e))
}

/// Pads a digest with zeros: those of the control channel have 32 bytes, those of the configuration
/// 16.
fn to_wire_digest(digest: Digest) -> wire::Digest {
    let mut bytes = [0; DIGEST_LEN_BYTES];
    bytes[..Digest::LEN_BYTES].copy_from_slice(digest.as_bytes());
    wire::Digest::new(bytes)
}

fn from_wire_digest(digest: wire::Digest) -> Digest {
    let mut bytes = [0; Digest::LEN_BYTES];
    bytes.copy_from_slice(&digest.get()[..Digest::LEN_BYTES]);
    Digest::from_bytes(bytes)
}

fn peer_error(error: &impl ToString) -> PeerError {
    PeerError {
        detail: error.to_string().into(),
    }
}

/// The balancers that a process can query, with an open session to each one queried so far.
#[derive(Clone, Debug)]
pub struct ControlPeers {
    state: Arc<PeersState>,
}

#[derive(Debug)]
struct PeersState {
    keys: Arc<KeyRing>,
    options: ControlOptions,
    addresses: Mutex<Vec<SocketAddrV4>>,
    sessions: Mutex<FastMap<SocketAddrV4, ControlClient>>,
    newest_revision: watch::Sender<Revision>,
}

impl ControlPeers {
    /// Returns peers at the given control addresses.
    pub fn new(keys: Arc<KeyRing>, options: ControlOptions, addresses: Vec<SocketAddrV4>) -> Self {
        let state = PeersState {
            keys,
            options,
            addresses: Mutex::new(addresses),
            sessions: Mutex::default(),
            newest_revision: watch::Sender::default(),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Returns a channel with the newest revision that any peer has announced.
    pub fn newest_peer_revision(&self) -> watch::Receiver<Revision> {
        self.state.newest_revision.subscribe()
    }

    /// Replaces the control addresses. An empty list is ignored, because outdated addresses are better
    /// than none.
    pub fn set_addresses(&self, addresses: Vec<SocketAddrV4>) {
        if addresses.is_empty() {
            return;
        }
        let mut sessions = lock(&self.state.sessions);
        sessions.retain(|address, client| addresses.contains(address) && !client.is_closed());
        drop(sessions);
        *lock(&self.state.addresses) = addresses;
    }

    /// Fetches the list of live balancers from the first peer that answers. Returns the last error if
    /// none does, and an empty list if there are no peers.
    pub async fn balancers(&self) -> Result<Vec<BalancerEntry>> {
        let mut outcome = Ok(Vec::new());
        for peer in self.pick(usize::MAX, Revision::default()) {
            outcome = peer.balancers().await;
            if outcome.is_ok() {
                break;
            }
        }
        outcome
    }
}

impl ConfigPeers for ControlPeers {
    type Peer = ControlPeer;

    fn pick(&self, count: usize, _revision: Revision) -> Vec<ControlPeer> {
        let addresses = lock(&self.state.addresses);
        let picked = addresses.sample(&mut rand::rng(), count);
        let state = &self.state;
        let peer = |address: &SocketAddrV4| ControlPeer {
            address: *address,
            state: Arc::clone(state),
        };
        picked.map(peer).collect()
    }
}

/// Records the revisions announced in a session until it ends.
async fn record_announcements(mut notices: NoticeStream, state: Weak<PeersState>) {
    while let Ok(notice) = notices.next().await {
        let Some(state) = state.upgrade() else {
            return;
        };
        if let Notice::ConfigHead(head) = notice {
            state.newest_revision.send_if_modified(|newest| {
                let is_newer = *newest < head.revision;
                *newest = (*newest).max(head.revision);
                is_newer
            });
        }
    }
}

/// One balancer as a source of the configuration.
#[derive(Debug)]
pub struct ControlPeer {
    address: SocketAddrV4,
    state: Arc<PeersState>,
}

impl ControlPeer {
    async fn session(&self) -> Result<ControlClient> {
        let open = lock(&self.state.sessions).get(&self.address).cloned();
        if let Some(client) = open.filter(|client| !client.is_closed()) {
            return Ok(client);
        }
        let connect =
            ControlClient::connect_with(self.address, &self.state.keys, self.state.options);
        let (client, notices) = connect.await?;
        tokio::spawn(record_announcements(notices, Arc::downgrade(&self.state)));
        lock(&self.state.sessions).insert(self.address, client.clone());
        Ok(client)
    }

    async fn balancers(&self) -> Result<Vec<BalancerEntry>> {
        self.session().await?.balancers().await
    }
}

impl ConfigPeer for ControlPeer {
    async fn revision(&self) -> PeerResult<Revision> {
        let session = self.session().await.map_err(|e| peer_error(&e))?;
        let status = session.status().await.map_err(|e| peer_error(&e))?;
        let status: ProcessStatus = serde_json::from_str(&status).map_err(|e| peer_error(&e))?;
        Ok(status.revision)
    }

    async fn fetch_since(&self, revision: Revision) -> PeerResult<Option<ConfigUpdate>> {
        let session = self.session().await.map_err(|e| peer_error(&e))?;
        let head = session
            .config_head(revision)
            .await
            .map_err(|e| peer_error(&e))?;
        head.as_ref().map(decode_update).transpose()
    }

    async fn fetch_shards(&self, digests: &[Digest]) -> PeerResult<Vec<Box<str>>> {
        let session = self.session().await.map_err(|e| peer_error(&e))?;
        let requests = digests
            .iter()
            .map(|d| session.config_shard(to_wire_digest(*d)));
        let mut shards = Vec::new();
        for answer in join_all(requests).await {
            let Some(shard) = answer.map_err(|e| peer_error(&e))? else {
                continue;
            };
            let text = String::from_utf8(shard.body.to_vec()).map_err(|e| peer_error(&e))?;
            shards.push(text.into());
        }
        Ok(shards)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
