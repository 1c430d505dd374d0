//! A service of a configuration text whose fields are partly valid.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::config::text::{ClassLimits, ServiceConfig};
use crate::ids::ServiceName;
use crate::request::RequestClass;
use crate::units::{ConnectionLimit, Slots};

/// The valid fields of a service, each with its index in the text if it is part of a list. Problems
/// of the other fields have been reported.
#[derive(Debug)]
pub(crate) struct PartialService {
    pub(crate) name: Option<ServiceName>,
    pub(crate) addresses: Vec<(usize, SocketAddrV4)>,
    pub(crate) depends_on: Vec<(usize, ServiceName)>,
    pub(crate) limits: Option<Limits>,
}

/// The limits of a service, of which all are valid.
#[derive(Debug)]
pub(crate) struct Limits {
    pub(crate) slots: Slots,
    pub(crate) connection_limit: ConnectionLimit,
    pub(crate) classes: BTreeMap<RequestClass, ClassLimits>,
}

impl PartialService {
    /// Returns the service if all its fields are valid.
    pub(crate) fn into_service(self) -> Option<ServiceConfig> {
        let limits = self.limits?;
        Some(ServiceConfig {
            name: self.name?,
            addresses: sorted_items(self.addresses),
            depends_on: sorted_items(self.depends_on),
            slots: limits.slots,
            connection_limit: limits.connection_limit,
            classes: limits.classes,
        })
    }
}

pub(crate) fn sorted_items<T: Ord>(items: Vec<(usize, T)>) -> Box<[T]> {
    let mut items: Box<[T]> = items.into_iter().map(|(_, item)| item).collect();
    items.sort_unstable();
    items
}
