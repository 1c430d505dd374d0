//! The list of live balancers, kept in the store under leases.

use std::time::Duration;

use cranberrypitch_proto::control::BalancerEntry;
use tokio::sync::watch;

use crate::events::Event;
use crate::store::{Error, ExpectedVersion, LeaseId, Put, Result, Store, StoreKey};

const PREFIX: &str = "balancers/";

/// Reads the list of live balancers. Entries that can't be read are left out.
pub async fn list_balancers<S: Store>(store: &S) -> Result<Vec<BalancerEntry>> {
    let listing = store.list(&StoreKey::try_new(PREFIX)?).await?;
    let entries = listing.entries.iter();
    Ok(entries
        .filter_map(|entry| serde_json::from_slice(&entry.value).ok())
        .collect())
}

/// Keeps a balancer registered and follows the list of the others.
#[derive(Debug)]
pub struct BalancerRegistry<S> {
    store: S,
    own: BalancerEntry,
    ttl: Duration,
    renewal: Duration,
    lease: Option<LeaseId>,
    listed: watch::Sender<Vec<BalancerEntry>>,
}

impl<S: Store> BalancerRegistry<S> {
    /// Returns the registry of one balancer. The receiver shows every change of the list.
    pub fn new(
        store: S,
        own: BalancerEntry,
        ttl: Duration,
        renewal: Duration,
    ) -> (Self, watch::Receiver<Vec<BalancerEntry>>) {
        let listed = watch::Sender::new(vec![own.clone()]);
        let receiver = listed.subscribe();
        let registry = Self {
            store,
            own,
            ttl,
            renewal,
            lease: None,
            listed,
        };
        (registry, receiver)
    }

    /// Runs until it is dropped.
    pub async fn run(&mut self) {
        loop {
            self.step().await;
            tokio::time::sleep(self.renewal).await;
        }
    }

    /// Renews the lease, or registers anew, and reads the list. While the store is down, the last
    /// list stays in force.
    pub async fn step(&mut self) {
        if let Err(error) = self.keep_registered().await {
            log::debug!("balancer not registered: {error}");
        }
        match list_balancers(&self.store).await {
            Ok(balancers) => self.publish(balancers),
            Err(error) => log::debug!("balancers not listed: {error}"),
        }
    }

    /// Ends the registration, so that the others learn of the leave at once.
    pub async fn deregister(&mut self) {
        if let Some(lease) = self.lease.take()
            && let Err(error) = self.store.release(lease).await
        {
            // The lease lapses by itself.
            log::debug!("lease not released: {error}");
        }
    }

    async fn keep_registered(&mut self) -> Result<()> {
        if let Some(lease) = self.lease {
            match self.store.renew(lease).await {
                Ok(()) => return Ok(()),
                Err(Error::LeaseLapsed { .. }) => {
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
        // An entry of an earlier run on the same VM is replaced.
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
                // Without the lease, a write that took effect all the same is removed again.
                drop(self.store.release(lease).await);
                if matches!(error, Error::Conflict { .. }) {
                    let key = key.to_string().into();
                    Event::StoreConflict { key }.log();
                }
                Err(error)
            }
        }
    }

    fn publish(&self, mut balancers: Vec<BalancerEntry>) {
        if balancers.iter().all(|b| b.vm != self.own.vm) {
            balancers.push(self.own.clone());
        }
        self.listed.send_if_modified(|listed| {
            log_changes(listed, &balancers);
            let has_changed = *listed != balancers;
            *listed = balancers;
            has_changed
        });
    }
}

fn log_changes(before: &[BalancerEntry], after: &[BalancerEntry]) {
    for joined in after.iter().filter(|a| before.iter().all(|b| b.vm != a.vm)) {
        Event::BalancerJoined {
            vm: joined.vm.clone(),
            failure_domain: joined.failure_domain.clone(),
            tunnel: joined.tunnel,
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
