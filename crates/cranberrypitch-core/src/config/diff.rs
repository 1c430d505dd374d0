//! The difference between two configuration texts.

use std::net::SocketAddrV4;

use derive_more::Display;

use crate::config::text::{ClassLimits, ConfigText, Deployment, ServiceConfig};
use crate::ids::{DeploymentName, FailureDomain, Region, ServiceName};
use crate::request::RequestClass;
use crate::units::{ConnectionLimit, Slots};

/// A change from an older configuration text to a newer one. It is displayed as one line of a diff.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ConfigChange {
    /// The name of the deployment has changed.
    #[display("deployment: {from} -> {to}")]
    Deployment {
        /// The old name.
        from: DeploymentName,
        /// The new name.
        to: DeploymentName,
    },
    /// The region of the deployment has changed.
    #[display("region: {from} -> {to}")]
    Region {
        /// The old region.
        from: Region,
        /// The new region.
        to: Region,
    },
    /// A failure domain was added.
    #[display("+ failure domain {_0}")]
    FailureDomainAdded(FailureDomain),
    /// A failure domain was removed.
    #[display("- failure domain {_0}")]
    FailureDomainRemoved(FailureDomain),
    /// A service was added.
    #[display("+ service {_0}")]
    ServiceAdded(ServiceName),
    /// A service was removed.
    #[display("- service {_0}")]
    ServiceRemoved(ServiceName),
    /// An address was added to a service.
    #[display("{service}: + address {address}")]
    AddressAdded {
        /// The service.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// An address was removed from a service.
    #[display("{service}: - address {address}")]
    AddressRemoved {
        /// The service.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// A dependency was added to a service.
    #[display("{service}: + depends on {dependency}")]
    DependencyAdded {
        /// The service.
        service: ServiceName,
        /// The service on which it depends.
        dependency: ServiceName,
    },
    /// A dependency was removed from a service.
    #[display("{service}: - depends on {dependency}")]
    DependencyRemoved {
        /// The service.
        service: ServiceName,
        /// The service on which it depended.
        dependency: ServiceName,
    },
    /// The number of slots of a service has changed.
    #[display("{service}: slots {from} -> {to}")]
    Slots {
        /// The service.
        service: ServiceName,
        /// The old number.
        from: Slots,
        /// The new number.
        to: Slots,
    },
    /// The connection limit of a service has changed.
    #[display("{service}: connections {from} -> {to}")]
    ConnectionLimit {
        /// The service.
        service: ServiceName,
        /// The old limit.
        from: ConnectionLimit,
        /// The new limit.
        to: ConnectionLimit,
    },
    /// A class was added to a service.
    #[display("{service}: + class {class}")]
    ClassAdded {
        /// The service.
        service: ServiceName,
        /// The class.
        class: RequestClass,
    },
    /// A class was removed from a service.
    #[display("{service}: - class {class}")]
    ClassRemoved {
        /// The service.
        service: ServiceName,
        /// The class.
        class: RequestClass,
    },
    /// The limits of a class of a service have changed.
    #[display(
        "{service}: class {class} {} -> {}",
        format_limits(from),
        format_limits(to)
    )]
    ClassLimits {
        /// The service.
        service: ServiceName,
        /// The class.
        class: RequestClass,
        /// The old limits.
        from: ClassLimits,
        /// The new limits.
        to: ClassLimits,
    },
}

fn format_limits(limits: &ClassLimits) -> String {
    format!(
        "(repeatable {}, deadline_ms {}, queue_per_tenant {}, body_limit_bytes {})",
        limits.is_repeatable,
        limits.deadline.as_millis(),
        limits.queue_per_organisation,
        limits.body_limit
    )
}

/// Returns the changes that lead from `older` to `newer`.
pub fn diff(older: &ConfigText, newer: &ConfigText) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    diff_deployment(&older.deployment, &newer.deployment, &mut changes);
    let names = |text: &ConfigText| -> Vec<ServiceName> {
        text.services.iter().map(|s| s.name.clone()).collect()
    };
    let (old_names, new_names) = (names(older), names(newer));
    changes.extend(not_in(&old_names, &new_names).map(ConfigChange::ServiceRemoved));
    for service in &newer.services {
        match older.service(&service.name) {
            None => changes.push(ConfigChange::ServiceAdded(service.name.clone())),
            Some(old) if old == service => {}
            Some(old) => diff_service(old, service, &mut changes),
        }
    }
    changes
}

fn diff_deployment(older: &Deployment, newer: &Deployment, changes: &mut Vec<ConfigChange>) {
    if older.name != newer.name {
        changes.push(ConfigChange::Deployment {
            from: older.name.clone(),
            to: newer.name.clone(),
        });
    }
    if older.region != newer.region {
        changes.push(ConfigChange::Region {
            from: older.region.clone(),
            to: newer.region.clone(),
        });
    }
    let mut old_domains = older.failure_domains.to_vec();
    let mut new_domains = newer.failure_domains.to_vec();
    old_domains.sort_unstable();
    new_domains.sort_unstable();
    changes.extend(not_in(&old_domains, &new_domains).map(ConfigChange::FailureDomainRemoved));
    changes.extend(not_in(&new_domains, &old_domains).map(ConfigChange::FailureDomainAdded));
}

/// Returns the items of `all` that the sorted list `other` does not contain.
fn not_in<'a, T: Ord + Clone>(all: &'a [T], other: &'a [T]) -> impl Iterator<Item = T> + 'a {
    let is_missing = |item: &&T| other.binary_search(item).is_err();
    all.iter().filter(is_missing).cloned()
}

fn diff_service(older: &ServiceConfig, newer: &ServiceConfig, changes: &mut Vec<ConfigChange>) {
    let service = &newer.name;
    let removed = not_in(&older.addresses, &newer.addresses);
    changes.extend(removed.map(|address| ConfigChange::AddressRemoved {
        service: service.clone(),
        address,
    }));
    let added = not_in(&newer.addresses, &older.addresses);
    changes.extend(added.map(|address| ConfigChange::AddressAdded {
        service: service.clone(),
        address,
    }));
    let removed = not_in(&older.depends_on, &newer.depends_on);
    changes.extend(removed.map(|dependency| ConfigChange::DependencyRemoved {
        service: service.clone(),
        dependency,
    }));
    let added = not_in(&newer.depends_on, &older.depends_on);
    changes.extend(added.map(|dependency| ConfigChange::DependencyAdded {
        service: service.clone(),
        dependency,
    }));
    if older.slots != newer.slots {
        changes.push(ConfigChange::Slots {
            service: service.clone(),
            from: older.slots,
            to: newer.slots,
        });
    }
    if older.connection_limit != newer.connection_limit {
        changes.push(ConfigChange::ConnectionLimit {
            service: service.clone(),
            from: older.connection_limit,
            to: newer.connection_limit,
        });
    }
    let classes = RequestClass::ALL.into_iter();
    changes.extend(classes.filter_map(|class| diff_class(older, newer, class)));
}

fn diff_class(
    older: &ServiceConfig,
    newer: &ServiceConfig,
    class: RequestClass,
) -> Option<ConfigChange> {
    let service = newer.name.clone();
    match (older.classes.get(&class), newer.classes.get(&class)) {
        (None, Some(_)) => Some(ConfigChange::ClassAdded { service, class }),
        (Some(_), None) => Some(ConfigChange::ClassRemoved { service, class }),
        (Some(&from), Some(&to)) if from != to => Some(ConfigChange::ClassLimits {
            service,
            class,
            from,
            to,
        }),
        _ => None,
    }
}
