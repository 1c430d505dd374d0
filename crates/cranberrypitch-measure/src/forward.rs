//! `measure forward`: the forwarding path of a balancer against a bare relay.

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
pub(crate) use self::routing::nanos_each;
pub use self::throughput::{Round, Throughput};
use crate::errors::{Error, Result};

/// The length of a datagram from a caller.
pub(crate) const PACKET_BYTES: usize = 1200;

/// The flow counts between which nothing may grow.
const FLOW_COUNTS: [u32; 4] = [1000, 10_000, 50_000, 200_000];

const DEFAULT_SECONDS: u32 = 5;

/// The figures of the verb; a part that was not asked for is left out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ForwardReport {
    /// Packets per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub throughput: Option<Throughput>,
    /// The routing decision alone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteCost>,
    /// Memory against the number of established flows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub growth: Option<Growth>,
}

/// Runs the verb with the options of the command line.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let seconds = arguments
        .opt_value_from_str("--seconds")?
        .unwrap_or(DEFAULT_SECONDS);
    if !(1..=600).contains(&seconds) {
        return Err(Error::out_of_range("seconds", "1 to 600"));
    }
    let part: Option<String> = arguments.opt_value_from_str("--part")?;
    let wants = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if !["throughput", "route", "growth"].into_iter().any(wants) {
        return Err(Error::out_of_range("part", "throughput, route or growth"));
    }
    let report = ForwardReport {
        throughput: wants("throughput")
            .then(|| throughput::measure(seconds))
            .transpose()?,
        route: wants("route").then(routing::measure),
        growth: wants("growth").then(|| growth(&FLOW_COUNTS)).transpose()?,
    };
    let text = if as_json {
        serde_json::to_string(&report)?
    } else {
        serde_json::to_string_pretty(&report)?
    };
    Ok(text)
}

/// Measures the memory of a balancer against these numbers of established flows.
pub fn growth(flow_counts: &[u32]) -> Result<Growth> {
    growth::measure(flow_counts)
}

/// A balancer that serves one address on loopback.
#[derive(Debug)]
pub(crate) struct Balancer {
    pub(crate) handle: BalancerHandle,
    pub(crate) address: SocketAddrV4,
    pub(crate) tunnel: SocketAddrV4,
    pub(crate) keys: Arc<KeyRing>,
}

/// The service of the measurements.
pub(crate) fn service_tag() -> Result<ServiceTag> {
    Ok(ServiceTag::of(&ServiceName::try_new("matcher")?))
}

impl Balancer {
    pub(crate) async fn start() -> Result<Self> {
        let keys = Arc::new(KeyRing::from_secret(KeyGeneration::new(1), &[7; 32]));
        let tunnel = free_address()?;
        let identity = BalancerIdentity {
            vm: VmId::try_new("balancer")?,
            failure_domain: FailureDomain::try_new("domain-1")?,
            tunnel_address: tunnel,
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
            tunnel,
            keys,
        })
    }
}

/// Returns a loopback address that was free a moment ago.
pub(crate) fn free_address() -> Result<SocketAddrV4> {
    let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let port = socket.local_addr()?.port();
    Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}
