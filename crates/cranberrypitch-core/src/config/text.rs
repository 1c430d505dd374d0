//! The types of the configuration text.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::config::problem::Problems;
use crate::config::reader;
use crate::ids::{DeploymentName, FailureDomain, Region, ServiceName, ServiceTag};
use crate::request::RequestClass;
use crate::units::{ByteSize, ConnectionLimit, QueueLimit, Slots};

/// A configuration text that keeps every rule, with its services in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigText {
    /// What is said about the deployment as a whole.
    #[serde(flatten)]
    pub deployment: Deployment,
    /// The services.
    pub services: Vec<ServiceConfig>,
}

/// What the text says about the deployment as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name.
    #[serde(rename = "deployment")]
    pub name: DeploymentName,
    /// The region.
    pub region: Region,
    /// The failure domains of the region.
    pub failure_domains: Box<[FailureDomain]>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The name, unique in the text.
    pub name: ServiceName,
    /// The addresses that callers send to, in ascending order.
    pub addresses: Box<[SocketAddrV4]>,
    /// The services that this one needs, in ascending order.
    #[serde(default, skip_serializing_if = "<[_]>::is_empty")]
    pub depends_on: Box<[ServiceName]>,
    /// The requests that one backend server runs at once.
    pub slots: Slots,
    /// The connections that one backend server holds at once.
    #[serde(rename = "connections")]
    pub connection_limit: ConnectionLimit,
    /// The classes that are served, with their limits.
    pub classes: BTreeMap<RequestClass, ClassLimits>,
}

impl ServiceConfig {
    /// Returns the tag that stands for the service in packets.
    pub fn tag(&self) -> ServiceTag {
        ServiceTag::of(&self.name)
    }
}

/// The limits of one class of requests at one service.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLimits {
    /// Whether a request may be run again after it failed.
    #[serde(rename = "repeatable")]
    pub is_repeatable: bool,
    /// The time within which a request must start, counted from its arrival.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The requests of one organisation that may wait at one target.
    #[serde(rename = "queue_per_tenant")]
    pub queue_per_organisation: QueueLimit,
    /// The longest body.
    #[serde(rename = "body_limit_bytes")]
    pub body_limit: ByteSize,
}

impl ConfigText {
    /// Reads a text, and returns all its problems when it breaks a rule.
    pub fn parse(json: &str) -> Result<Self, Problems> {
        reader::read(json)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        let found = self.services.binary_search_by(|s| s.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }
}
