//! The order of agents for a flow, by rendezvous hashing.
//!
//! New flows go to one of the first agents of the order, so a balancer that does not know a flow
//! finds it with a few questions. A change of the list of agents moves few of the first places.

use std::cmp::Reverse;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher24;

use super::directory::KnownAgent;
use super::packet::FlowKey;

/// Returns the first `len` agents of a flow's order.
pub(super) fn first<'a>(
    flow: &FlowKey,
    agents: impl Iterator<Item = &'a KnownAgent>,
    len: usize,
) -> Vec<&'a KnownAgent> {
    let ranked = agents.map(|agent| (Reverse(weight(flow, agent.record.address)), agent));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable_by_key(|(weight, agent)| (*weight, agent.record.address));
    ranked.truncate(len);
    ranked.into_iter().map(|(_, agent)| agent).collect()
}

fn weight(flow: &FlowKey, agent: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(0, 0);
    for address in [flow.caller, flow.service_address, agent] {
        hasher.write(&address.ip().octets());
        hasher.write(&address.port().to_be_bytes());
    }
    hasher.finish()
}
