//! The list of live balancers, which register in the store under leases.

use std::time::Duration;

use cranberrypitch_core::membership::{EvacuatedDomains, EvacuationVersion, Evacuations};
use cranberrypitch_proto::control::BalancerEntry;
use tokio::sync::watch;

use crate::evacuation::{evacuated_domains, evacuated_name};
use crate::events::Event;
use crate::store::{
    Entry, Epoch, Error, ExpectedVersion, LeaseId, Listing, Put, Result, Store, StoreKey,
};

/// The prefix of the store keys under which balancers register.
pub const PREFIX: &str = "balancers/";

/// Reads the list of live balancers. Skips entries that can't be decoded.
pub async fn list_balancers<S: Store>(store: &S) -> Result<Vec<BalancerEntry>> {
    let listing = read_list(store).await?;
    Ok(parse_balancers(&listing.entries))
}

/// Reads the live balancers and the evacuations.
async fn read_list<S: Store>(store: &S) -> Result<Listing> {
    store.list(&StoreKey::try_new(PREFIX)?).await
}

/// Parses the entries and leaves out malformed ones, which other writers may have put there. One line shows
/// their number and the first error.
fn parse_balancers(entries: &[Entry]) -> Vec<BalancerEntry> {
    let mut balancers = Vec::with_capacity(entries.len());
    let mut malformed_count = 0_usize;
    let mut first_error = None;
    let of_balancers = entries
        .iter()
        .filter(|entry| evacuated_name(&entry.key).is_none());
    for entry in of_balancers {
        match serde_json::from_slice(&entry.value) {
            Ok(balancer) => balancers.push(balancer),
            Err(error) => {
                malformed_count += 1;
                first_error.get_or_insert((&entry.key, error));
            }
        }
    }
    if let Some((key, error)) = first_error {
        log::warn!(
            "{malformed_count} malformed entries of balancers ignored, the first at {key}: {error}"
        );
    }
    balancers
}

/// Keeps a balancer registered and publishes the list of live balancers.
#[derive(Debug)]
pub struct BalancerRegistry<S> {
    store: S,
    own: BalancerEntry,
    ttl: Duration,
    renewal_interval: Duration,
    lease: Option<LeaseId>,
    live_balancers: watch::Sender<Vec<BalancerEntry>>,
    /// The epoch of the store at the last reading of the list.
    epoch: Option<Epoch>,
    unconfirmed: UnconfirmedBalancers,
    evacuations: Evacuations,
    evacuated_domains: watch::Sender<EvacuatedDomains>,
}

/// Balancers that were listed before the store was restored from a copy and have not been since. They
/// stay in the list until they have had the time to register again.
#[derive(Debug, Default)]
struct UnconfirmedBalancers {
    balancers: Vec<BalancerEntry>,
    readings_left: u32,
}

impl UnconfirmedBalancers {
    /// Removes the balancers that are listed, or all after the last reading, and adds the others to the
    /// list.
    fn add_to(&mut self, listed: &mut Vec<BalancerEntry>) {
        self.balancers
            .retain(|kept| listed.iter().all(|entry| entry.vm != kept.vm));
        if self.readings_left == 0 {
            self.balancers.clear();
        }
        self.readings_left = self.readings_left.saturating_sub(1);
        listed.extend(self.balancers.iter().cloned());
    }
}

impl<S: Store> BalancerRegistry<S> {
    /// Returns the registry of one balancer, whose lease of `ttl` is renewed at `renewal_interval`. The
    /// receiver gets each change of the list.
    pub fn new(
        store: S,
        own: BalancerEntry,
        ttl: Duration,
        renewal_interval: Duration,
    ) -> (Self, watch::Receiver<Vec<BalancerEntry>>) {
        let live_balancers = watch::Sender::new(vec![own.clone()]);
        let receiver = live_balancers.subscribe();
        let registry = Self {
            store,
            own,
            ttl,
            renewal_interval,
            lease: None,
            live_balancers,
            epoch: None,
            unconfirmed: UnconfirmedBalancers::default(),
            evacuations: Evacuations::default(),
            evacuated_domains: watch::Sender::default(),
        };
        (registry, receiver)
    }

    /// Returns a channel with the evacuated failure domains.
    pub fn evacuated_domains(&self) -> watch::Receiver<EvacuatedDomains> {
        self.evacuated_domains.subscribe()
    }

    /// Calls [`step`](Self::step) at the renewal interval until the future is dropped.
    pub async fn run(&mut self) {
        loop {
            self.step().await;
            tokio::time::sleep(self.renewal_interval).await;
        }
    }

    /// Renews the lease, or registers again if it has lapsed, and reads the list. While the store is
    /// unavailable, the last list and the known evacuations stay in use.
    pub async fn step(&mut self) {
        if let Err(error) = self.maintain_registration().await {
            log::debug!("balancer not registered: {error}");
        }
        match read_list(&self.store).await {
            Ok(listing) => self.on_list(&listing),
            Err(error) => log::debug!("list of live balancers not read: {error}"),
        }
    }

    /// Releases the lease, so that the entry disappears from the list at once.
    pub async fn deregister(&mut self) {
        if let Some(lease) = self.lease.take()
            && let Err(error) = self.store.release(lease).await
        {
            // Without the call, the entry disappears when the lease lapses.
            log::debug!("lease not released: {error}");
        }
    }

    async fn maintain_registration(&mut self) -> Result<()> {
        if let Some(lease) = self.lease {
            match self.store.renew(lease).await {
                Ok(()) => return Ok(()),
                Err(error) if error.is_lease_lost() => {
                    let vm = self.own.vm.clone();
                    Event::LeaseLapsed { vm }.log();
                    self.lease = None;
                }
                Err(error) => return Err(error),
            }
        }
        self.register().await
    }

    async fn register(&mut self) -> Result<()> {
        let key = StoreKey::try_new(&format!(
            "{PREFIX}{}/{}",
            self.own.failure_domain, self.own.vm
        ))?;
        // Replaces an entry of an earlier run on the same VM.
        let found = self.store.get(&key).await?;
        let expected = found.map_or(ExpectedVersion::Absent, |e| {
            ExpectedVersion::Version(e.version)
        });
        let value = serde_json::to_vec(&self.own).unwrap_or_default();
        let lease = self.store.grant(self.ttl).await?;
        let put = Put {
            key: key.clone(),
            value: value.into(),
            expected,
            lease: Some(lease),
        };
        match self.store.put(put).await {
            Ok(_) => {
                self.lease = Some(lease);
                Ok(())
            }
            Err(error) => {
                // Releasing the lease removes the entry if the write took effect despite the error.
                drop(self.store.release(lease).await);
                if matches!(error, Error::Conflict { .. }) {
                    let key = key.to_string().into();
                    Event::StoreConflict { key }.log();
                }
                Err(error)
            }
        }
    }

    fn on_list(&mut self, listing: &Listing) {
        let epoch = listing.version.epoch();
        let mut balancers = parse_balancers(&listing.entries);
        self.update_evacuations(listing);
        if self.epoch.replace(epoch).is_some_and(|last| last < epoch) {
            self.unconfirmed = UnconfirmedBalancers {
                balancers: self.live_balancers.borrow().clone(),
                readings_left: self.kept_readings(),
            };
        }
        self.unconfirmed.add_to(&mut balancers);
        self.publish(balancers);
    }

    /// Returns the number of readings after a restoration of the store within which lost keys are written
    /// again.
    fn kept_readings(&self) -> u32 {
        let interval_ms = self.renewal_interval.as_millis().max(1);
        let readings = self.ttl.as_millis().div_ceil(interval_ms);
        u32::try_from(readings).unwrap_or(u32::MAX)
    }

    fn update_evacuations(&mut self, listing: &Listing) {
        let version = EvacuationVersion {
            epoch: listing.version.epoch().get(),
            revision: listing.version.number(),
        };
        let listed = evacuated_domains(&listing.entries);
        let kept_readings = self.kept_readings();
        self.evacuations.on_reading(version, listed, kept_readings);
        let in_force = self.evacuations.in_force();
        self.evacuated_domains.send_if_modified(|published| {
            let has_changed = *published != in_force;
            *published = in_force;
            has_changed
        });
    }

    fn publish(&self, mut balancers: Vec<BalancerEntry>) {
        if balancers.iter().all(|b| b.vm != self.own.vm) {
            balancers.push(self.own.clone());
        }
        self.live_balancers.send_if_modified(|published| {
            log_changes(published, &balancers);
            let has_changed = *published != balancers;
            *published = balancers;
            has_changed
        });
    }
}

fn log_changes(before: &[BalancerEntry], after: &[BalancerEntry]) {
    for joined in after.iter().filter(|a| before.iter().all(|b| b.vm != a.vm)) {
        Event::BalancerJoined {
            vm: joined.vm.clone(),
            failure_domain: joined.failure_domain.clone(),
            tunnel: joined.tunnel_address,
        }
        .log();
    }
    for left in before.iter().filter(|b| after.iter().all(|a| a.vm != b.vm)) {
        Event::BalancerLeft {
            vm: left.vm.clone(),
        }
        .log();
    }
}
