//! A balancer's view of the agents, from the store's list and from the agents' own reports.
//!
//! Each source covers for the other: an agent stays while the store lists it, and an agent whose
//! registration lapsed stays while its reports arrive.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, DurationMilliSeconds, serde_as};

use super::load::AgentLoad;
use crate::collections::FastMap;
use crate::ids::{FailureDomain, Incarnation, ServiceName, ServiceTag};
use crate::target::TargetState;
use crate::units::Slots;
/// What an agent says about itself and its target.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Where the agent receives messages of balancers.
    #[serde_as(as = "DisplayFromStr")]
    pub address: SocketAddrV4,
    /// The service that the target serves.
    pub service: ServiceName,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The run of the agent.
    pub incarnation: Incarnation,
    /// The state of the target.
    pub state: TargetState,
    /// The requests that the target runs at once.
    pub slots: Slots,
    /// How much longer the target is slow after its start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "warmup_left_ms")]
    pub warmup_left: Duration,
}

/// Limits for the judgement of agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentDirectoryOptions {
    /// How long an agent without registration stays after its last report.
    pub report_lifetime: Duration,
    /// How long an agent whose registration ended stays, so that one that lapsed during an outage
    /// of the store can be renewed.
    pub unlisted_grace: Duration,
}

impl Default for AgentDirectoryOptions {
    fn default() -> Self {
        Self {
            report_lifetime: Duration::from_secs(3),
            unlisted_grace: Duration::from_secs(2),
        }
    }
}

/// A known agent.
#[derive(Clone, Debug)]
pub(crate) struct KnownAgent {
    pub(crate) record: AgentRecord,
    pub(crate) tag: ServiceTag,
    pub(crate) load: AgentLoad,
    pub(crate) is_local: bool,
    pub(crate) load_at: Option<Instant>,
    is_listed: bool,
    unlisted_at: Instant,
}

impl KnownAgent {
    fn is_kept(&self, options: &AgentDirectoryOptions, now: Instant) -> bool {
        let younger = |at: Instant, limit: Duration| now.saturating_duration_since(at) < limit;
        let is_heard = self
            .load_at
            .is_some_and(|at| younger(at, options.report_lifetime));
        match self.record.state {
            TargetState::Gone => self.is_listed,
            _ => self.is_listed || is_heard || younger(self.unlisted_at, options.unlisted_grace),
        }
    }
}

/// The agents that a balancer knows.
#[derive(Debug)]
pub struct AgentDirectory {
    options: AgentDirectoryOptions,
    failure_domain: FailureDomain,
    agents: FastMap<SocketAddrV4, KnownAgent>,
    by_service: FastMap<ServiceTag, Vec<SocketAddrV4>>,
    is_loaded: bool,
}

impl AgentDirectory {
    /// Returns the empty directory of a balancer in a failure domain.
    pub fn new(options: AgentDirectoryOptions, failure_domain: FailureDomain) -> Self {
        Self {
            options,
            failure_domain,
            agents: FastMap::default(),
            by_service: FastMap::default(),
            is_loaded: false,
        }
    }

    /// Returns whether the store's list was read at least once.
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Takes in the store's whole list. Returns the records that are new or changed.
    pub fn on_agent_list(&mut self, records: Vec<AgentRecord>, now: Instant) -> Vec<AgentRecord> {
        self.is_loaded = true;
        let listed: crate::FastSet<_> = records.iter().map(|record| record.address).collect();
        for (address, agent) in &mut self.agents {
            if agent.is_listed && !listed.contains(address) {
                agent.is_listed = false;
                agent.unlisted_at = now;
            }
        }
        let changed = records
            .into_iter()
            .filter(|record| self.on_registered(record.clone(), now));
        changed.collect()
    }

    /// Takes in one registration. Returns whether it changes what is known.
    pub fn on_registered(&mut self, record: AgentRecord, now: Instant) -> bool {
        let address = record.address;
        match self.agents.get_mut(&address) {
            // What the agent said itself within the lifetime of a report is newer than the store.
            Some(known)
                if known.record.incarnation == record.incarnation
                    && known.load_at.is_some_and(|at| {
                        now.saturating_duration_since(at) < self.options.report_lifetime
                    }) =>
            {
                known.is_listed = true;
                false
            }
            Some(known) if known.record == record => {
                known.is_listed = true;
                false
            }
            _ => {
                self.insert(record, None, now);
                if let Some(known) = self.agents.get_mut(&address) {
                    known.is_listed = true;
                }
                true
            }
        }
    }

    /// Notes that a registration ended.
    pub fn on_unregistered(&mut self, address: SocketAddrV4, now: Instant) {
        if let Some(known) = self.agents.get_mut(&address) {
            known.is_listed = false;
            known.unlisted_at = now;
        }
    }

    /// Takes in what an agent reports. Returns whether more than the load changed.
    pub fn on_report(&mut self, record: AgentRecord, load: AgentLoad, now: Instant) -> bool {
        if let Some(known) = self.agents.get_mut(&record.address)
            && known.record.incarnation == record.incarnation
            && known.record.service == record.service
        {
            let is_changed = known.record.state != record.state;
            known.record = record;
            known.load = load;
            known.load_at = Some(now);
            return is_changed;
        }
        self.insert(record, Some(load), now);
        true
    }

    /// Removes the agents that are neither listed nor heard.
    pub fn on_tick(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let options = self.options;
        let gone: Vec<_> = self
            .agents
            .extract_if(|_, agent| !agent.is_kept(&options, now))
            .map(|(address, _)| address)
            .collect();
        for addresses in self.by_service.values_mut() {
            addresses.retain(|address| !gone.contains(address));
        }
        gone
    }

    /// Returns the agents of a service.
    pub(crate) fn of_service(&self, service: ServiceTag) -> impl Iterator<Item = &KnownAgent> {
        let addresses = self.by_service.get(&service);
        addresses
            .into_iter()
            .flatten()
            .filter_map(|address| self.agents.get(address))
    }

    /// Returns all agents.
    pub(crate) fn all(&self) -> impl Iterator<Item = &KnownAgent> {
        self.agents.values()
    }

    /// Returns the agent at an address.
    pub(crate) fn agent(&self, address: SocketAddrV4) -> Option<&KnownAgent> {
        self.agents.get(&address)
    }

    /// Returns whether the store lists an agent.
    pub(crate) fn is_listed(&self, address: SocketAddrV4) -> bool {
        self.agents
            .get(&address)
            .is_some_and(|agent| agent.is_listed)
    }

    /// Returns the records of all agents.
    pub fn records(&self) -> Vec<AgentRecord> {
        self.all().map(|agent| agent.record.clone()).collect()
    }

    /// Returns the number of agents.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    fn insert(&mut self, record: AgentRecord, load: Option<AgentLoad>, now: Instant) {
        let address = record.address;
        let before = self.agents.remove(&address);
        if let Some(before) = &before
            && let Some(addresses) = self.by_service.get_mut(&before.tag)
        {
            addresses.retain(|known| *known != address);
        }
        let tag = ServiceTag::of(&record.service);
        self.by_service.entry(tag).or_default().push(address);
        let agent = KnownAgent {
            is_local: record.failure_domain == self.failure_domain,
            tag,
            load: load.unwrap_or_default(),
            load_at: load.map(|_| now),
            is_listed: before.is_some_and(|before| before.is_listed),
            unlisted_at: now,
            record,
        };
        self.agents.insert(address, agent);
    }
}
