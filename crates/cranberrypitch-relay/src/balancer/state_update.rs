//! Changes of a balancer's state from outside of its traffic.

use std::time::Instant;

use cranberrypitch_core::flow::{AgentRecord, ConfigCheck, EvacuationRead, RouteConfig};
use cranberrypitch_net::store::StoreKey;

use super::snapshot::Snapshot;

/// A change of a balancer's state, received from the store or from another balancer.
#[derive(Debug)]
pub(crate) enum StateUpdate {
    /// A configuration from the store.
    Config(RouteConfig),
    /// What a read of the store returned about evacuations.
    Evacuations(EvacuationRead),
    /// The store had no newer configuration than the one in force at this time.
    ConfigReadUpTo(Instant),
    /// A check of the configuration in the store, for the other balancers.
    ConfigChecked(ConfigCheck),
    /// The snapshot of another balancer.
    Snapshot(Snapshot),
    /// The list of agents of another balancer.
    AgentsOfBalancer(Vec<AgentRecord>),
    /// The complete list of agents.
    Agents(Vec<AgentRecord>),
    /// The new or changed record of an agent.
    AgentRegistered(AgentRecord),
    /// The key of an agent whose record can't be read.
    AgentUnreadable(StoreKey),
    /// The key of an agent whose registration ended.
    AgentUnregistered(StoreKey),
    /// All changes of the list of agents up to this time have been sent.
    AgentsReadUpTo(Instant),
}
