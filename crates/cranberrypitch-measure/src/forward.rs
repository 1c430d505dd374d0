//! `measure forward`: the forwarding path of a balancer, compared with a minimal UDP relay.

mod growth;
mod load;
mod relay;
mod routing;
mod throughput;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use cranberrypitch_balancer::{BalancerHandle, BalancerIdentity, BalancerOptions, ServiceAddress};
use cranberrypitch_core::{FailureDomain, KeyGeneration, Revision, ServiceName, ServiceTag, VmId};
use cranberrypitch_net::KeyRing;
use pico_args::Arguments;
use serde::Serialize;

pub use self::growth::{Growth, GrowthRow};
pub use self::routing::RouteCost;
pub(crate) use self::routing::mean_nanos;
pub use self::throughput::{Throughput, ThroughputRound};
use crate::errors::{Error, Result};

/// The length of a caller's packet, without UDP and IP headers.
pub(crate) const PACKET_BYTES: usize = 1200;

/// The numbers of established flows, over which memory must not grow.
const FLOW_COUNTS: [u32; 4] = [1000, 10_000, 50_000, 200_000];

const DEFAULT_DURATION_S: u32 = 5;

/// The results of `measure forward`; sections that were not requested are omitted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ForwardReport {
    /// The throughput of the balancer and of the relay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub throughput: Option<Throughput>,
    /// The processor time of the routing decision alone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteCost>,
    /// The growth of memory with the number of established flows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub growth: Option<Growth>,
}

/// Runs `measure forward` and returns its report as JSON.
///
/// # Errors
///
/// Returns an error for invalid options or if a measurement fails.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let duration_s = arguments
        .opt_value_from_str("--seconds")?
        .unwrap_or(DEFAULT_DURATION_S);
    if !(1..=600).contains(&duration_s) {
        return Err(Error::out_of_range("seconds", "1 to 600"));
    }
    let part: Option<String> = arguments.opt_value_from_str("--part")?;
    let includes = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if !["throughput", "route", "growth"].into_iter().any(includes) {
        return Err(Error::out_of_range("part", "throughput, route or growth"));
    }
    let report = ForwardReport {
        throughput: includes("throughput")
            .then(|| throughput::measure(duration_s))
            .transpose()?,
        route: includes("route").then(routing::measure),
        growth: includes("growth")
            .then(|| growth(&FLOW_COUNTS))
            .transpose()?,
    };
    let text = if as_json {
        serde_json::to_string(&report)?
    } else {
        serde_json::to_string_pretty(&report)?
    };
    Ok(text)
}

/// Measures the memory growth of a balancer for each number of established flows.
///
/// # Errors
///
/// Returns an error if a socket can't be opened or the balancer can't start.
pub fn growth(flow_counts: &[u32]) -> Result<Growth> {
    growth::measure(flow_counts)
}

/// A balancer that serves one address on loopback.
#[derive(Debug)]
pub(crate) struct Balancer {
    pub(crate) handle: BalancerHandle,
    pub(crate) address: SocketAddrV4,
    pub(crate) tunnel_address: SocketAddrV4,
    pub(crate) keys: Arc<KeyRing>,
}

/// Returns the tag of the service that the measurements use.
pub(crate) fn service_tag() -> Result<ServiceTag> {
    Ok(ServiceTag::of(&ServiceName::try_new("matcher")?))
}

impl Balancer {
    pub(crate) async fn start() -> Result<Self> {
        let keys = Arc::new(KeyRing::from_secret(KeyGeneration::new(1), &[7; 32]));
        let tunnel_address = free_address()?;
        let identity = BalancerIdentity {
            vm: VmId::try_new("balancer")?,
            failure_domain: FailureDomain::try_new("domain-1")?,
            tunnel_address,
        };
        let options = BalancerOptions::builder(identity, Arc::clone(&keys)).build();
        let handle = BalancerHandle::spawn(options)?;
        let address = free_address()?;
        let service = ServiceAddress {
            address,
            service: service_tag()?,
        };
        handle.set_services(&[service], Revision::new(1)).await?;
        Ok(Self {
            handle,
            address,
            tunnel_address,
            keys,
        })
    }
}

/// Returns an unused loopback address. Another process may take it before it is bound.
pub(crate) fn free_address() -> Result<SocketAddrV4> {
    let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let port = socket.local_addr()?.port();
    Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}
