//! A deployment for tests, and helper functions for names and options.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod processes;

use std::time::Duration;

use cranberrypitch_caller::{FeedOptions, OrderOptions, UploadOptions};
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_core::{OrganisationId, ServiceName};
use cranberrypitch_standins::deployment::TargetVm;
use cranberrypitch_standins::fabric::LinkOptions;
use cranberrypitch_standins::{Deployment, DeploymentOptions};

pub const VALVES: &str = include_str!("../../../../samples/valves.json");

pub fn service(name: &str) -> ServiceName {
    ServiceName::try_new(name).unwrap()
}

pub fn organisation(name: &str) -> OrganisationId {
    OrganisationId::try_new(name).unwrap()
}

/// Returns the options of a small deployment whose fabric delays each packet by 1 ms to 5 ms.
pub fn small(matchers: usize, tracers: usize, seed: u64) -> DeploymentOptions {
    let link = LinkOptions::new()
        .delay(Duration::from_millis(1))
        .jitter(Duration::from_millis(4));
    DeploymentOptions::new(ConfigText::parse(VALVES).unwrap(), seed)
        .targets(service("matcher"), matchers)
        .targets(service("tracer"), tracers)
        .links(link, link)
}

pub fn order_options(deployment: &Deployment, name: &str) -> OrderOptions {
    OrderOptions {
        endpoint: deployment.endpoint(&service(name)).unwrap(),
        organisation: organisation("santa-maria"),
        deadline: Duration::from_secs(5),
        response_timeout: Duration::from_secs(5),
    }
}

pub fn upload_options(deployment: &Deployment, name: &str) -> UploadOptions {
    UploadOptions {
        endpoint: deployment.endpoint(&service(name)).unwrap(),
        organisation: organisation("bench-1"),
        deadline: Duration::from_secs(10),
        is_repeatable: true,
    }
}

pub fn feed_options(deployment: &Deployment, name: &str) -> FeedOptions {
    FeedOptions {
        endpoint: deployment.endpoint(&service(name)).unwrap(),
        organisation: organisation("workshop-7"),
        resume_from: None,
        max_attempts: 20,
        retry_delay: Duration::from_millis(200),
    }
}

pub fn order_body(key: &str) -> Vec<u8> {
    format!("{{\"key\":\"{key}\"}}").into_bytes()
}

/// Returns how often the order with this key ran at all backend servers of the deployment.
pub fn runs_of(deployment: &Deployment, key: &str) -> usize {
    let journals = deployment.targets().iter().flat_map(TargetVm::journal);
    journals
        .filter(|entry| entry.order_key.as_deref() == Some(key))
        .count()
}
