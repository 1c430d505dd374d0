//! The selection of targets at one balancer.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    AgentDirectory, AgentDirectoryOptions, AgentLoad, AgentRecord, AgentSelector,
    AgentSelectorOptions, FlowKey, SelectionRequest,
};
use cranberrypitch_core::target::TargetState;
use cranberrypitch_core::{FailureDomain, Incarnation, Result, ServiceName, ServiceTag, Slots};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Policy;

const SERVICE: &str = "matcher";

/// The port of the agents.
const AGENT_PORT: u16 = 8172;

/// Selects targets, by index, under one policy.
#[derive(Debug)]
pub(super) struct TargetSelector {
    policy: Policy,
    selector: AgentSelector,
    directory: AgentDirectory,
    service: ServiceTag,
    records: Vec<AgentRecord>,
    reported_flows: Vec<u16>,
    /// The last target that round-robin returned.
    last_target: usize,
    /// Separate from the generator of the arrivals, which are the same under all policies.
    rng: Pcg64,
}

impl TargetSelector {
    /// Creates the selector of a balancer in a failure domain. `domains` holds the failure domain of
    /// each target.
    pub(super) fn try_new(
        policy: Policy,
        (balancer, domain): (usize, usize),
        domains: &[usize],
        slots: u32,
        seed: u64,
        now: Instant,
    ) -> Result<Self> {
        let mut selector_options = AgentSelectorOptions::default();
        if policy == Policy::OwnDomain {
            selector_options.remote_penalty = f64::INFINITY;
        }
        let records = (0..domains.len())
            .map(|target| record(target, domains[target], slots))
            .collect::<Result<Vec<_>>>()?;
        let mut directory =
            AgentDirectory::new(AgentDirectoryOptions::default(), failure_domain(domain)?);
        directory.on_agent_list(records.clone(), now);
        Ok(Self {
            policy,
            selector: AgentSelector::new(selector_options),
            directory,
            service: ServiceTag::of(&ServiceName::try_new(SERVICE)?),
            reported_flows: vec![0; records.len()],
            records,
            last_target: balancer,
            rng: Pcg64::seed_from_u64(seed ^ (balancer as u64 + 1)),
        })
    }

    /// Applies a load report of a target. `warmup_left` is the rest of its warm-up time.
    pub(super) fn on_report(
        &mut self,
        target: usize,
        load: AgentLoad,
        warmup_left: Duration,
        now: Instant,
    ) {
        self.reported_flows[target] = load.open_flows;
        let mut record = self.records[target].clone();
        record.warmup_left = warmup_left;
        self.directory.on_report(record, load, now);
    }

    /// Ejects and readmits targets by the last reports.
    pub(super) fn update_outliers(&mut self, now: Instant) {
        self.selector.update_outliers(&self.directory, now);
    }

    /// Selects a target for a flow. If the target may decline, the number of requests that it is
    /// expected to run is returned too.
    pub(super) fn select_target(&mut self, flow: FlowKey, now: Instant) -> (usize, Option<u16>) {
        match self.policy {
            Policy::Selection | Policy::OwnDomain => {
                let (target, expected) = self.select_by_core(flow, now);
                (target, Some(expected))
            }
            Policy::WithoutDecline => (self.select_by_core(flow, now).0, None),
            _ => (self.select_by_baseline(flow), None),
        }
    }

    fn select_by_baseline(&mut self, flow: FlowKey) -> usize {
        let targets = self.records.len();
        match self.policy {
            Policy::SharedQueue
            | Policy::Selection
            | Policy::WithoutDecline
            | Policy::OwnDomain => 0,
            Policy::Hash => {
                // Deterministic across runs, unlike hashers with random keys.
                let mut hasher = DefaultHasher::new();
                flow.hash(&mut hasher);
                usize::try_from(hasher.finish() % targets as u64).unwrap_or(0)
            }
            Policy::Random => self.rng.random_range(0..targets),
            Policy::RoundRobin => {
                self.last_target = (self.last_target + 1) % targets;
                self.last_target
            }
            Policy::LeastFlows => {
                let least = self.reported_flows.iter().min().copied().unwrap_or(0);
                let is_least = |target: &usize| self.reported_flows[*target] == least;
                let least: Vec<_> = (0..targets).filter(is_least).collect();
                least[self.rng.random_range(0..least.len())]
            }
        }
    }

    fn select_by_core(&mut self, flow: FlowKey, now: Instant) -> (usize, u16) {
        let request = SelectionRequest {
            flow,
            service: self.service,
            is_bulk: false,
            excluded: &[],
        };
        let Some(selected) = self.selector.select(&request, &self.directory, now) else {
            return (0, 0);
        };
        let is_selected = |record: &AgentRecord| record.address == selected.address;
        let index = self.records.iter().position(is_selected);
        (index.unwrap_or(0), selected.expected_requests)
    }
}

fn record(target: usize, domain: usize, slots: u32) -> Result<AgentRecord> {
    let number = u8::try_from(target).unwrap_or(u8::MAX);
    Ok(AgentRecord {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), AGENT_PORT),
        service: ServiceName::try_new(SERVICE)?,
        failure_domain: failure_domain(domain)?,
        incarnation: Incarnation::new(1),
        state: TargetState::Ready,
        slots: Slots::new(slots),
        warmup_left: Duration::ZERO,
        is_agent_stopping: false,
        held_flows: None,
    })
}

fn failure_domain(domain: usize) -> Result<FailureDomain> {
    FailureDomain::try_new(&format!("domain-{domain}"))
}
