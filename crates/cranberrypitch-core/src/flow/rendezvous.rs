//! Rendezvous hashing of flows to agents.
//!
//! A new flow goes to one of the agents that rank highest for it, so a balancer without an entry for
//! the flow finds it with a few queries. Adding or removing an agent changes the highest ranks of few
//! flows.

use std::cmp::Reverse;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher24;

use super::directory::AgentEntry;
use super::packet::FlowKey;

/// Returns the `len` agents with the highest weights for a flow, in descending order of weight.
pub(super) fn top_ranked<'a>(
    flow: &FlowKey,
    agents: impl Iterator<Item = &'a AgentEntry>,
    len: usize,
) -> Vec<&'a AgentEntry> {
    let ranked = agents.map(|agent| (Reverse(weight(flow, agent.record.address)), agent));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable_by_key(|(weight, agent)| (*weight, agent.record.address));
    ranked.truncate(len);
    ranked.into_iter().map(|(_, agent)| agent).collect()
}

/// Hashes the flow and the agent with fixed keys, so that all balancers compute the same weights.
fn weight(flow: &FlowKey, agent: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(0, 0);
    for address in [flow.caller, flow.service_address, agent] {
        hasher.write(&address.ip().octets());
        hasher.write(&address.port().to_be_bytes());
    }
    hasher.finish()
}
