//! Generated configuration texts.

use std::net::{Ipv4Addr, SocketAddrV4};

use cranberrypitch_core::config::{ConfigText, ServiceConfig};
use cranberrypitch_core::{FastSet, ServiceName, ServiceTag, Slots};
use rand::{Rng, RngExt};

use crate::config::Result;

const SAMPLE: &str = include_str!("../../../../samples/valves.json");

/// Generates a configuration text with `services` services of one address each. Names whose tag
/// collides with that of an earlier name are skipped, as `check` rejects them.
pub(super) fn generate(services: usize, rng: &mut impl Rng) -> Result<ConfigText> {
    let mut text = ConfigText::parse(SAMPLE)?;
    let sample = text.services[0].clone();
    let mut tags: FastSet<ServiceTag> = FastSet::default();
    let mut names: Vec<ServiceName> = Vec::with_capacity(services);
    let mut number = 0;
    text.services.clear();
    while text.services.len() < services {
        number += 1;
        let name = ServiceName::try_new(&format!("service-{number:06}"))?;
        if tags.insert(ServiceTag::of(&name)) {
            let service = generate_one(&sample, &name, number, &names, rng);
            text.services.push(service);
            names.push(name);
        }
    }
    Ok(text)
}

fn generate_one(
    sample: &ServiceConfig,
    name: &ServiceName,
    number: u32,
    earlier: &[ServiceName],
    rng: &mut impl Rng,
) -> ServiceConfig {
    let mut service = sample.clone();
    service.name = name.clone();
    let address = Ipv4Addr::from_bits(Ipv4Addr::new(10, 0, 0, 0).to_bits() + number);
    service.addresses = [SocketAddrV4::new(address, 443)].into();
    service.slots = Slots::new(rng.random_range(2..16));
    if !earlier.is_empty() && rng.random_bool(0.5) {
        let dependency = rng.random_range(0..earlier.len());
        service.depends_on = [earlier[dependency].clone()].into();
    }
    service
}
