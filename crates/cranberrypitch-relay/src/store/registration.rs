//! The registration of an agent in the store, under a lease.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::flow::{AgentRecord, NumberedRecord, RecordNumber};
use cranberrypitch_net::store::{
    Entry, Error as StoreError, ExpectedVersion, LeaseId, Put, Store, StoreKey, Version,
};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::sync::watch::{Receiver, Sender};
use tokio::time::{sleep, timeout};

use super::backoff::Backoff;
use crate::errors::{Error, Result};

/// The prefix of the agents' keys in the store.
pub(crate) const PREFIX: &str = "agents/";

/// The default time to live of a lease. It outlasts two lost renewals.
const LEASE_TTL: Duration = Duration::from_secs(9);

/// The time between two renewals of a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2800);

/// The timeout of the release of the lease when the agent stops.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time limits of a [`Registration`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RegistrationOptions {
    /// The minimum time to live of a lease in the store.
    pub(crate) lease_min: Duration,
    /// The time for which the record of a stopped agent stays listed for the next agent: the maximum age of a
    /// flow at its target.
    pub(crate) stopped_ttl: Duration,
    /// The time that the agent has to write its stop.
    pub(crate) stop_timeout: Duration,
}

/// What is known of the agent's record in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RegistrationStatus {
    /// Whether the last call to the store succeeded and the record is written.
    pub(crate) is_registered: bool,
    /// The last record that the store is known to hold; none before the first write, and from the time at which
    /// the store is found to have lost its latest writes until the record is verified or written again.
    pub(crate) written_record: Option<RecordNumber>,
    /// Whether the first attempt to write a record has ended.
    pub(crate) is_first_attempt_over: bool,
}

/// A lease that the agent holds.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    ttl: Duration,
}

/// The record of an agent in the store, under a lease.
#[derive(Debug)]
pub(crate) struct Registration<'a, S> {
    store: &'a S,
    key: StoreKey,
    options: RegistrationOptions,
    /// Tells the agent what the store holds.
    status: Sender<RegistrationStatus>,
    lease: Option<Lease>,
    written: Option<(Version, AgentRecord)>,
    /// Whether a write has no answer, so that it may have replaced `written` or may still do so.
    is_write_unanswered: bool,
}

/// Returns the store key of an agent.
pub(crate) fn store_key(record: &AgentRecord) -> Result<StoreKey> {
    let address = record.address;
    let key = format!("{PREFIX}{}-{}", address.ip(), address.port());
    StoreKey::try_new(&key).map_err(Error::Store)
}

/// Returns the address of the agent with a store key, or `None` if the key is not an agent's.
pub(crate) fn agent_address(key: &StoreKey) -> Option<SocketAddrV4> {
    let (ip, port) = key.as_str().strip_prefix(PREFIX)?.rsplit_once('-')?;
    Some(SocketAddrV4::new(ip.parse().ok()?, port.parse().ok()?))
}

/// Parses the record of an agent in the store.
///
/// # Errors
///
/// Returns an error if the value is malformed, or describes an agent other than the one of the key: only an
/// agent itself writes its record.
pub(crate) fn parse_record(entry: &Entry) -> Result<AgentRecord> {
    const KIND: &str = "registration of an agent";
    let record: AgentRecord =
        serde_json::from_slice(&entry.value).map_err(|e| Error::malformed(KIND, &e))?;
    if agent_address(&entry.key) != Some(record.address) {
        let detail = format!("it names the address {}", record.address);
        return Err(Error::malformed(KIND, &detail));
    }
    Ok(record)
}

/// Returns whether an entry has a set of held flows that its record lacks, as it is malformed.
pub(crate) fn has_malformed_flows(entry: &Entry, record: &AgentRecord) -> bool {
    #[derive(Deserialize)]
    struct Field {
        held_flows: Option<IgnoredAny>,
    }
    let has_field = || {
        serde_json::from_slice(&entry.value).is_ok_and(|field: Field| field.held_flows.is_some())
    };
    record.held_flows.is_none() && has_field()
}

impl<'a, S: Store> Registration<'a, S> {
    /// Returns a registration that has not been written yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent's key is invalid.
    pub(crate) fn try_new(
        store: &'a S,
        record: &AgentRecord,
        options: RegistrationOptions,
        status: Sender<RegistrationStatus>,
    ) -> Result<Self> {
        Ok(Self {
            store,
            key: store_key(record)?,
            options,
            status,
            lease: None,
            written: None,
            is_write_unanswered: false,
        })
    }

    /// Writes the latest record and renews its lease until the sender is dropped. Then it releases the lease,
    /// unless the last record says that the agent stops beside a running target: it stays listed for the
    /// next agent. Nothing is written before the first record.
    pub(crate) async fn run(mut self, mut records: Receiver<Option<NumberedRecord>>) {
        let mut backoff = Backoff::default();
        let mut is_renewal_due = false;
        // The check precedes each call, so that a stop of the agent ends the loop also while the store
        // is unavailable.
        while records.has_changed().is_ok() {
            let Some(NumberedRecord { number, record }) = records.borrow_and_update().clone()
            else {
                if records.changed().await.is_err() {
                    break;
                }
                continue;
            };
            let result = self.update(record, is_renewal_due).await;
            self.report_status(number, result.is_ok());
            match result {
                Ok(()) => {
                    backoff.reset(&self.key);
                    is_renewal_due = false;
                    tokio::select! {
                        changed = records.changed() => if changed.is_err() {
                            break;
                        },
                        () = sleep(RENEWAL_INTERVAL) => is_renewal_due = true,
                    }
                }
                Err(error) => backoff.wait(&self.key, &error).await,
            }
        }
        let last = records.borrow().clone();
        match last {
            Some(NumberedRecord { record, .. }) if record.is_agent_stopping => {
                self.write_last(record).await;
            }
            _ => self.release().await,
        }
    }

    /// Reports the result of an update with a record to the agent.
    fn report_status(&self, number: RecordNumber, is_updated: bool) {
        let is_registered = is_updated && self.written.is_some();
        self.status.send_modify(|status| {
            status.is_registered = is_registered;
            status.is_first_attempt_over = true;
            if is_registered {
                status.written_record = Some(number);
            }
        });
    }

    /// Reports that the store may hold another record than the last one that was written.
    fn report_lost_writes(&self) {
        self.status
            .send_modify(|status| status.written_record = None);
    }

    /// Writes the record of an agent that stops, as often as the stop timeout allows.
    async fn write_last(mut self, record: AgentRecord) {
        let stop_timeout = self.options.stop_timeout;
        let write = async {
            let mut backoff = Backoff::default();
            while let Err(error) = self.update(record.clone(), false).await {
                backoff.wait(&self.key, &error).await;
            }
        };
        if timeout(stop_timeout, write).await.is_err() {
            tracing::warn!(target: crate::log::TARGET, "stop of the agent not written to its registration within the timeout");
        }
    }

    /// Returns the time to live of the lease for a record.
    fn ttl(&self, record: &AgentRecord) -> Duration {
        let ttl = if record.is_agent_stopping {
            self.options.stopped_ttl
        } else {
            LEASE_TTL
        };
        ttl.max(self.options.lease_min)
    }

    /// Renews the lease if that is due, and writes the record if it has changed.
    async fn update(
        &mut self,
        record: AgentRecord,
        is_renewal_due: bool,
    ) -> std::result::Result<(), StoreError> {
        if is_renewal_due {
            self.renew().await?;
        }
        // The record of a stop needs a lease that outlives the flows of the target.
        let ttl = self.ttl(&record);
        self.lease = self.lease.filter(|lease| lease.ttl == ttl);
        let is_written = |(_, written): &(Version, AgentRecord)| has_same_content(written, &record);
        // A write without an answer may take effect late. The next one either makes it fail or replaces it.
        if self.lease.is_some()
            && !self.is_write_unanswered
            && self.written.as_ref().is_some_and(is_written)
        {
            return Ok(());
        }
        self.write(record, ttl).await
    }

    /// Renews the lease. After a restoration of the store, a lease that the copy has is renewed in the present
    /// epoch.
    async fn renew(&mut self) -> std::result::Result<(), StoreError> {
        for _ in 0..2 {
            let Some(lease) = self.lease else {
                return Ok(());
            };
            match self.store.renew(lease.id).await {
                Ok(()) => return Ok(()),
                Err(error) => self.on_failed_call(error).await?,
            }
        }
        Ok(())
    }

    async fn write(
        &mut self,
        record: AgentRecord,
        ttl: Duration,
    ) -> std::result::Result<(), StoreError> {
        let lease = if let Some(lease) = self.lease {
            lease
        } else {
            let id = self.store.grant(ttl).await?;
            *self.lease.insert(Lease { id, ttl })
        };
        let value = serde_json::to_vec(&record).map_err(|e| StoreError::refused(&e))?;
        let value = Bytes::from(value);
        let version = self.written.as_ref().map(|(version, _)| *version);
        let mut expected = version.map_or(ExpectedVersion::Absent, ExpectedVersion::Version);
        // The second attempt replaces the record of an earlier run of the agent, or one written by a
        // call whose answer was lost.
        for _ in 0..2 {
            let put = Put {
                key: self.key.clone(),
                value: value.clone(),
                expected,
                lease: Some(lease.id),
            };
            self.is_write_unanswered = true;
            match self.store.put(put).await {
                Ok(version) => {
                    self.is_write_unanswered = false;
                    tracing::info!(target: crate::log::TARGET, key = %self.key, "agent registered in the store");
                    self.written = Some((version, record));
                    return Ok(());
                }
                Err(StoreError::Conflict { current }) => {
                    expected = current.map_or(ExpectedVersion::Absent, ExpectedVersion::Version);
                }
                Err(error) => {
                    self.on_failed_call(error.clone()).await?;
                    return Err(error);
                }
            }
        }
        Err(StoreError::unavailable(
            &"the key of the registration is being changed by another writer",
        ))
    }

    /// Forgets a lapsed lease, or verifies the registration after the store was restored from a copy.
    /// Returns all other errors.
    async fn on_failed_call(&mut self, error: StoreError) -> std::result::Result<(), StoreError> {
        match error {
            StoreError::LeaseLapsed { .. } => {
                tracing::warn!(target: crate::log::TARGET, %error, "lease of the registration lapsed");
                self.report_lost_writes();
                self.lease = None;
                self.written = None;
                Ok(())
            }
            StoreError::EpochEnded(_) => self.verify().await,
            error => Err(error),
        }
    }

    /// Reads the record in the present epoch. If the copy of the store has the last write, its lease and
    /// version hold on, and many agents do not write at the same time. Otherwise the agent registers again.
    async fn verify(&mut self) -> std::result::Result<(), StoreError> {
        self.report_lost_writes();
        let found = self.store.get(&self.key).await?;
        let (lease, written) = (self.lease.take(), self.written.take());
        let is_kept = |found: &Entry, version: Version| {
            let held = lease.map(|lease| lease.id);
            found.version.number() == version.number()
                && found.lease.map(LeaseId::number) == held.map(LeaseId::number)
        };
        if let Some(found) = found
            && let Some((version, record)) = written
            && is_kept(&found, version)
        {
            let ttl = lease.map_or(LEASE_TTL, |lease| lease.ttl);
            self.lease = found.lease.map(|id| Lease { id, ttl });
            self.written = Some((found.version, record));
            return Ok(());
        }
        tracing::warn!(target: crate::log::TARGET, key = %self.key, "registration lost with the latest writes of the store");
        Ok(())
    }

    async fn release(self) {
        let Some(lease) = self.lease else { return };
        match timeout(RELEASE_TIMEOUT, self.store.release(lease.id)).await {
            Ok(Ok(())) => {}
            // The lease lapses by itself after its time to live.
            Ok(Err(error)) => {
                tracing::warn!(target: crate::log::TARGET, %error, "lease of the registration not released");
            }
            Err(_) => {
                tracing::warn!(target: crate::log::TARGET, "lease of the registration not released within the timeout");
            }
        }
    }
}

/// Returns whether two records of one agent have the same content. The remaining warm-up is left
/// out, as readers let it decrease by themselves.
fn has_same_content(a: &AgentRecord, b: &AgentRecord) -> bool {
    a.service == b.service
        && a.state == b.state
        && a.slots == b.slots
        && a.incarnation == b.incarnation
        && a.is_agent_stopping == b.is_agent_stopping
        && a.held_flows == b.held_flows
}
