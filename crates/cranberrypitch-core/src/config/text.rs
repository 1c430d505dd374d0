//! The data types of the configuration text.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{DeploymentName, FailureDomain, Region, ServiceName, ServiceTag};
use crate::request::RequestClass;
use crate::units::{ByteSize, ConnectionLimit, QueueLimit, Slots};

/// A valid configuration text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigText {
    /// The settings of the deployment as a whole.
    #[serde(flatten)]
    pub deployment: Deployment,
    /// The services in the order of their names.
    pub services: Vec<ServiceConfig>,
}

/// The settings of the deployment as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name of the deployment.
    #[serde(rename = "deployment")]
    pub name: DeploymentName,
    /// The region in which the deployment runs.
    pub region: Region,
    /// The failure domains of the region.
    pub failure_domains: Box<[FailureDomain]>,
}

/// The configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The name, unique in the text.
    pub name: ServiceName,
    /// The addresses that callers send to, in ascending order.
    pub addresses: Box<[SocketAddrV4]>,
    /// The services on which this one depends, in ascending order.
    #[serde(default, skip_serializing_if = "<[_]>::is_empty")]
    pub depends_on: Box<[ServiceName]>,
    /// The number of requests that one backend server runs concurrently.
    pub slots: Slots,
    /// The maximum number of concurrent connections of one backend server.
    #[serde(rename = "connections")]
    pub connection_limit: ConnectionLimit,
    /// The request classes that the service accepts, with their limits.
    pub classes: BTreeMap<RequestClass, ClassLimits>,
}

impl ServiceConfig {
    /// Returns the tag that identifies the service in packets.
    pub fn tag(&self) -> ServiceTag {
        ServiceTag::of(&self.name)
    }
}

/// The limits of one class of requests at one service.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLimits {
    /// Whether a request may be run again after a failure.
    #[serde(rename = "repeatable")]
    pub is_repeatable: bool,
    /// The time after its arrival within which a request must start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// The maximum number of waiting requests of one organisation at one target.
    #[serde(rename = "queue_per_tenant")]
    pub queue_per_organisation: QueueLimit,
    /// The maximum length of a request body.
    #[serde(rename = "body_limit_bytes")]
    pub body_limit: ByteSize,
}

impl ConfigText {
    /// Returns the service with this name, if there is one.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        let found = self.services.binary_search_by(|s| s.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }
}
