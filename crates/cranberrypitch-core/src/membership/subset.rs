//! Selection of the balancers that serve a service.

use std::cmp::Reverse;
use std::hash::Hasher;

use siphasher::sip::SipHasher24;

use crate::ids::{ServiceTag, VmId};

/// Returns the `size` balancers that serve a service, by rendezvous hashing.
///
/// All processes with the same set of live balancers select the same subset, and the failure of a
/// balancer changes only the subsets that it belongs to.
pub fn select<'a>(
    service: ServiceTag,
    balancers: impl IntoIterator<Item = &'a VmId>,
    size: usize,
) -> Vec<&'a VmId> {
    let mut ranked: Vec<_> = balancers.into_iter().collect();
    ranked.sort_unstable_by_key(|balancer| (Reverse(weight(service, balancer)), *balancer));
    ranked.dedup();
    ranked.truncate(size);
    ranked
}

fn weight(service: ServiceTag, balancer: &VmId) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(u64::from(service.get()), 0);
    hasher.write(balancer.as_str().as_bytes());
    hasher.finish()
}
