//! The choice of a target at one balancer.

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

/// Chooses targets, which are numbered.
#[derive(Debug)]
pub(super) struct Chooser {
    policy: Policy,
    selector: AgentSelector,
    directory: AgentDirectory,
    service: ServiceTag,
    records: Vec<AgentRecord>,
    reported_flows: Vec<u16>,
    turn: usize,
    /// Apart from that of the arrivals, which are the same under all policies.
    rng: Pcg64,
}

impl Chooser {
    /// Returns the chooser of a balancer in a failure domain. `domains` has that of each target.
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
            turn: balancer,
            rng: Pcg64::seed_from_u64(seed ^ (balancer as u64 + 1)),
        })
    }

    /// Takes in the report of a target. `warmup_left` is how much longer it is slow.
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

    /// Chooses a target for a flow, with the requests that it is expected to run if it may decline.
    pub(super) fn choose(&mut self, flow: FlowKey, now: Instant) -> (usize, Option<u16>) {
        match self.policy {
            Policy::Selection | Policy::OwnDomain => {
                let (target, expected) = self.select(flow, now);
                (target, Some(expected))
            }
            Policy::Undeclined => (self.select(flow, now).0, None),
            _ => (self.choose_simply(flow), None),
        }
    }

    fn choose_simply(&mut self, flow: FlowKey) -> usize {
        let targets = self.records.len();
        match self.policy {
            Policy::SharedQueue | Policy::Selection | Policy::Undeclined | Policy::OwnDomain => 0,
            Policy::Hash => {
                // The same in each run, unlike hashers with random keys.
                let mut hasher = DefaultHasher::new();
                flow.hash(&mut hasher);
                usize::try_from(hasher.finish() % targets as u64).unwrap_or(0)
            }
            Policy::Random => self.rng.random_range(0..targets),
            Policy::RoundRobin => {
                self.turn = (self.turn + 1) % targets;
                self.turn
            }
            Policy::LeastFlows => {
                let least = self.reported_flows.iter().min().copied().unwrap_or(0);
                let is_least = |target: &usize| self.reported_flows[*target] == least;
                let least: Vec<_> = (0..targets).filter(is_least).collect();
                least[self.rng.random_range(0..least.len())]
            }
        }
    }

    fn select(&mut self, flow: FlowKey, now: Instant) -> (usize, u16) {
        let choice = SelectionRequest {
            flow,
            service: self.service,
            is_bulk: false,
            excluded: &[],
        };
        let Some(pick) = self.selector.select(&choice, &self.directory, now) else {
            return (0, 0);
        };
        let is_picked = |record: &AgentRecord| record.address == pick.address;
        let index = self.records.iter().position(is_picked);
        (index.unwrap_or(0), pick.expected_requests)
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
    })
}

fn failure_domain(domain: usize) -> Result<FailureDomain> {
    FailureDomain::try_new(&format!("domain-{domain}"))
}
