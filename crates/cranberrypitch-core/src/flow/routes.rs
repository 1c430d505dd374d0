//! Routes from destination addresses to services.

use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use siphasher::sip::SipHasher24;

use super::packet::FlowKey;
use crate::collections::{FastMap, FastSet};
use crate::ids::{Revision, ServiceName, ServiceTag};

/// A service that a route sends new flows to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// The share of new flows, relative to the other backends of the route.
    pub weight: u32,
}

/// A destination of callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address and port that callers send to.
    pub address: SocketAddrV4,
    /// The services that new flows go to.
    pub backends: Box<[Backend]>,
    /// Whether requests carry large bodies, so that a remote target is costly.
    pub is_bulk: bool,
    /// How urgent requests are when targets are overloaded; 0 is the most urgent.
    pub priority: u8,
    /// The time within which a request is answered at best.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "latency_objective_ms")]
    pub latency_objective: Duration,
}

impl Route {
    /// Returns the service of a new flow, which depends on the flow and the route alone, so that
    /// all balancers choose the same one for copies of an opening packet.
    pub fn service_for(&self, flow: &FlowKey) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = flow_hash(flow) % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.service);
            }
            left -= weight;
        }
        None
    }
}

fn flow_hash(flow: &FlowKey) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(0, 0);
    for end in [flow.caller, flow.service_address] {
        hasher.write(&end.ip().octets());
        hasher.write(&end.port().to_be_bytes());
    }
    hasher.finish()
}

/// A whole configuration of routes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The version, which grows with each change.
    pub version: Revision,
    /// The routes.
    pub routes: Box<[Route]>,
    /// A flow without packets for longer than this may be forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_timeout_ms")]
    pub idle_timeout: Duration,
}

/// The routes in force. The version never goes back.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Option<Revision>,
    idle_timeout: Duration,
    by_address: FastMap<SocketAddrV4, Route>,
    /// Services that an address was ever routed to; open flows stay there after a change.
    services: FastMap<SocketAddrV4, FastSet<ServiceTag>>,
}

impl RouteTable {
    /// Puts a configuration in force. Returns whether it is newer than the one in force.
    pub fn apply(&mut self, config: &RouteConfig) -> bool {
        if self.version.is_some_and(|known| config.version <= known) {
            return false;
        }
        self.version = Some(config.version);
        self.idle_timeout = config.idle_timeout;
        self.by_address = config
            .routes
            .iter()
            .map(|route| (route.address, route.clone()))
            .collect();
        // An address without a route has no flows to look for.
        self.services
            .retain(|address, _| self.by_address.contains_key(address));
        for route in &config.routes {
            let services = self.services.entry(route.address).or_default();
            services.extend(route.backends.iter().map(|b| ServiceTag::of(&b.service)));
        }
        true
    }

    /// Returns the version in force.
    pub const fn version(&self) -> Option<Revision> {
        self.version
    }

    /// Returns how long a flow may be idle.
    pub const fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }

    /// Returns whether an address was ever routed to a service.
    pub fn was_routed_to(&self, address: SocketAddrV4, service: ServiceTag) -> bool {
        self.services
            .get(&address)
            .is_some_and(|services| services.contains(&service))
    }
}
