//! Routing of destination addresses to services.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::packet::FlowKey;
use crate::collections::{FastMap, FastSet};
use crate::ids::{Revision, ServiceName, ServiceTag};
use crate::units::RequestRate;

/// The number of attempts of a caller for a request whose flow does not open.
const CALLER_ATTEMPTS: u32 = 3;

/// The time after which a caller gives up an attempt to open a flow.
pub(crate) const SYN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1400);

/// The maximum wait of a SYN, which leaves time until its caller gives up the attempt.
const MAX_SYN_WAIT: Duration = Duration::from_millis(1200);

/// A service that a route sends new flows to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The name of the service.
    pub service: ServiceName,
    /// The weight relative to the other backends of the route; 0 gets no new flows.
    pub weight: u32,
}

/// The time limits of the requests of a route.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// The objective for the time from a request to its response; zero if there is none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "latency_objective_ms")]
    pub latency_objective: Duration,
    /// The time after which the caller no longer waits for a response; zero if it is not known.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms", default)]
    pub timeout: Duration,
}

impl RequestLimits {
    /// Returns the time for which a SYN may wait for a busy target, at least `min`: the share of the timeout that
    /// leaves the caller time for its other attempts. A refused caller comes back at once, so a shorter wait
    /// multiplies the load and uses up its attempts.
    pub(crate) fn syn_wait(&self, min: Duration) -> Duration {
        let share = self.timeout / CALLER_ATTEMPTS;
        share.clamp(min, MAX_SYN_WAIT.max(min))
    }
}

/// What operators configure for a service as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// The name of the service.
    pub service: ServiceName,
    /// The rate of requests that a target can take while it is slow after its start; none if it has no limit.
    #[serde(rename = "warmup_requests_per_s")]
    pub warmup_rate: Option<RequestRate>,
}

/// The mapping from a destination address to weighted services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The destination address and port of the flows.
    pub address: SocketAddrV4,
    /// The services that share the new flows.
    pub backends: Box<[Backend]>,
    /// Whether requests carry large bodies, which makes targets in other failure domains costly.
    pub is_bulk: bool,
    /// The priority of the requests when targets are overloaded; 0 is the highest.
    pub priority: u8,
    /// The time limits of the requests.
    #[serde(flatten)]
    pub limits: RequestLimits,
}

impl Route {
    /// Returns the service for a new flow, or nothing if all weights are 0. The result depends only on
    /// the flow and the route, so all balancers agree on it for retransmissions of a SYN.
    pub fn service_for(&self, flow: &FlowKey) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut remainder = flow.stable_hash() % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if remainder < weight {
                return Some(&backend.service);
            }
            remainder -= weight;
        }
        None
    }
}

/// A complete configuration of routes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The version, which increases with each change.
    pub version: Revision,
    /// All routes, at most one for each address.
    pub routes: Box<[Route]>,
    /// The policies of services, at most one for each.
    #[serde(default)]
    pub services: Box<[ServicePolicy]>,
    /// The time without packets after which a flow may be removed from flow tables.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_timeout_ms")]
    pub idle_timeout: Duration,
}

/// The routes in force. The version never decreases.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Option<Revision>,
    idle_timeout: Duration,
    by_address: FastMap<SocketAddrV4, Route>,
    /// The services of each address in this and earlier configurations: open flows stay at the
    /// service that they were opened at.
    services_by_address: FastMap<SocketAddrV4, FastSet<ServiceTag>>,
    warmup_rates: FastMap<ServiceTag, RequestRate>,
}

impl RouteTable {
    /// Applies a configuration if it is newer than the one in force. Returns whether it was applied.
    pub fn apply(&mut self, config: &RouteConfig) -> bool {
        if self
            .version
            .is_some_and(|current| config.version <= current)
        {
            return false;
        }
        self.version = Some(config.version);
        self.idle_timeout = config.idle_timeout;
        self.by_address = config
            .routes
            .iter()
            .map(|route| (route.address, route.clone()))
            .collect();
        let policies = config.services.iter();
        self.warmup_rates = policies
            .filter_map(|policy| Some((ServiceTag::of(&policy.service), policy.warmup_rate?)))
            .collect();
        // Flows to an address without a route are reset, so they are never looked up.
        self.services_by_address
            .retain(|address, _| self.by_address.contains_key(address));
        for route in &config.routes {
            let services = self.services_by_address.entry(route.address).or_default();
            services.extend(route.backends.iter().map(|b| ServiceTag::of(&b.service)));
        }
        true
    }

    /// Returns the version in force, or nothing before the first configuration.
    pub const fn version(&self) -> Option<Revision> {
        self.version
    }

    /// Returns the time without packets after which a flow may be removed.
    pub const fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the route for a destination address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }

    /// Returns the rate of requests that a target of the service bears while it is slow after its start, if
    /// the configuration limits it.
    pub fn warmup_rate(&self, service: ServiceTag) -> Option<RequestRate> {
        self.warmup_rates.get(&service).copied()
    }

    /// Returns whether the address is or was routed to the service.
    pub fn was_routed_to(&self, address: SocketAddrV4, service: ServiceTag) -> bool {
        self.services_by_address
            .get(&address)
            .is_some_and(|services| services.contains(&service))
    }
}
