//! The registration of an agent in the store, under a lease.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::flow::AgentRecord;
use cranberrypitch_net::store::{
    Error as StoreError, ExpectedVersion, LeaseId, Put, Store, StoreKey, Version,
};
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

use crate::errors::{Error, Result};
use crate::follow::Pause;

/// The prefix of the keys of agents.
pub(crate) const PREFIX: &str = "agents/";

/// The time to live of the lease. It outlasts two lost renewals.
const LEASE_TTL: Duration = Duration::from_secs(9);

/// The time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2800);

/// The longest time that the end of the registration may take when the agent stops.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);

/// Keeps the record of an agent in the store.
#[derive(Debug)]
pub(crate) struct Registration<'a, S> {
    store: &'a S,
    key: StoreKey,
    ttl: Duration,
    /// Whether the store lists the record, as far as is known.
    is_registered: Arc<AtomicBool>,
    lease: Option<LeaseId>,
    written: Option<(Version, AgentRecord)>,
}

/// Returns the key of an agent.
pub(crate) fn key_of(record: &AgentRecord) -> Result<StoreKey> {
    let address = record.address;
    let key = format!("{PREFIX}{}-{}", address.ip(), address.port());
    StoreKey::try_new(&key).map_err(Error::Store)
}

/// Returns the address of the agent that a key belongs to.
pub(crate) fn address_of(key: &StoreKey) -> Option<SocketAddrV4> {
    let (ip, port) = key.as_str().strip_prefix(PREFIX)?.rsplit_once('-')?;
    Some(SocketAddrV4::new(ip.parse().ok()?, port.parse().ok()?))
}

impl<'a, S: Store> Registration<'a, S> {
    /// Returns the registration of an agent that is not written yet.
    pub(crate) fn try_new(
        store: &'a S,
        record: &AgentRecord,
        ttl_min: Duration,
        is_registered: Arc<AtomicBool>,
    ) -> Result<Self> {
        Ok(Self {
            store,
            key: key_of(record)?,
            ttl: LEASE_TTL.max(ttl_min),
            is_registered,
            lease: None,
            written: None,
        })
    }

    /// Writes the record, renews its lease and follows its changes until the sender is gone. Nothing
    /// is written before there is a record.
    pub(crate) async fn run(mut self, mut records: Receiver<Option<AgentRecord>>) {
        let mut pause = Pause::default();
        let mut is_renewal_due = false;
        // The sender is gone when the agent stops, also while the store does not answer.
        while records.has_changed().is_ok() {
            let record = records.borrow_and_update().clone();
            let result = match record {
                Some(record) => self.step(record, is_renewal_due).await,
                None => Ok(()),
            };
            let is_registered = result.is_ok() && self.written.is_some();
            self.is_registered.store(is_registered, Ordering::Relaxed);
            match result {
                Ok(()) => {
                    pause.reset(&self.key);
                    is_renewal_due = false;
                    tokio::select! {
                        changed = records.changed() => if changed.is_err() {
                            break;
                        },
                        () = sleep(RENEWAL_INTERVAL) => is_renewal_due = true,
                    }
                }
                Err(error) => pause.wait(&self.key, &error).await,
            }
        }
        self.release().await;
    }

    async fn step(
        &mut self,
        record: AgentRecord,
        is_renewal_due: bool,
    ) -> std::result::Result<(), StoreError> {
        if is_renewal_due && let Some(lease) = self.lease {
            match self.store.renew(lease).await {
                Ok(()) => {}
                Err(error @ StoreError::LeaseLapsed { .. }) => {
                    tracing::warn!(target: crate::log::TARGET, %error, "registration lapsed");
                    self.lease = None;
                    self.written = None;
                }
                Err(error) => return Err(error),
            }
        }
        let is_written = |(_, written): &(Version, AgentRecord)| is_same(written, &record);
        if self.written.as_ref().is_some_and(is_written) {
            return Ok(());
        }
        self.write(record).await
    }

    async fn write(&mut self, record: AgentRecord) -> std::result::Result<(), StoreError> {
        let lease = match self.lease {
            Some(lease) => lease,
            None => *self.lease.insert(self.store.grant(self.ttl).await?),
        };
        let value = serde_json::to_vec(&record).map_err(|e| StoreError::refused(&e))?;
        let value = Bytes::from(value);
        let version = self.written.as_ref().map(|(version, _)| *version);
        let mut expected = version.map_or(ExpectedVersion::Absent, ExpectedVersion::Version);
        // The second try is for a key of an earlier life of the agent, or for a write of its own
        // whose answer was lost.
        for _ in 0..2 {
            let put = Put {
                key: self.key.clone(),
                value: value.clone(),
                expected,
                lease: Some(lease),
            };
            match self.store.put(put).await {
                Ok(version) => {
                    tracing::info!(target: crate::log::TARGET, key = %self.key, "registered");
                    self.written = Some((version, record));
                    return Ok(());
                }
                Err(StoreError::Conflict { current }) => {
                    expected = current.map_or(ExpectedVersion::Absent, ExpectedVersion::Version);
                }
                Err(error) => {
                    if matches!(error, StoreError::LeaseLapsed { .. }) {
                        self.lease = None;
                        self.written = None;
                    }
                    return Err(error);
                }
            }
        }
        Err(StoreError::unavailable(
            &"the key changes under another writer",
        ))
    }

    async fn release(self) {
        let Some(lease) = self.lease else { return };
        match timeout(RELEASE_TIMEOUT, self.store.release(lease)).await {
            Ok(Ok(())) => {}
            // The lease lapses by itself.
            Ok(Err(error)) => {
                tracing::warn!(target: crate::log::TARGET, %error, "registration not ended");
            }
            Err(_) => tracing::warn!(target: crate::log::TARGET, "registration not ended in time"),
        }
    }
}

/// Returns whether two records need only one write; the time that a target stays slow passes by
/// itself.
fn is_same(a: &AgentRecord, b: &AgentRecord) -> bool {
    a.service == b.service
        && a.state == b.state
        && a.slots == b.slots
        && a.incarnation == b.incarnation
}
