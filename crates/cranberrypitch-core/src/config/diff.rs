//! The difference of two texts.

use std::net::SocketAddrV4;

use derive_more::Display;

use crate::config::text::{ClassLimits, ConfigText, Deployment, ServiceConfig};
use crate::ids::{DeploymentName, FailureDomain, Region, ServiceName};
use crate::request::RequestClass;
use crate::units::{ConnectionLimit, Slots};

/// One change from an older text to a newer one.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ConfigChange {
    /// The deployment has another name.
    #[display("deployment: {from} -> {to}")]
    Deployment {
        /// The older name.
        from: DeploymentName,
        /// The newer name.
        to: DeploymentName,
    },
    /// The deployment is in another region.
    #[display("region: {from} -> {to}")]
    Region {
        /// The older region.
        from: Region,
        /// The newer region.
        to: Region,
    },
    /// A failure domain is new.
    #[display("+ failure domain {_0}")]
    FailureDomainAdded(FailureDomain),
    /// A failure domain is gone.
    #[display("- failure domain {_0}")]
    FailureDomainRemoved(FailureDomain),
    /// A service is new.
    #[display("+ service {_0}")]
    ServiceAdded(ServiceName),
    /// A service is gone.
    #[display("- service {_0}")]
    ServiceRemoved(ServiceName),
    /// A service has a new address.
    #[display("{service}: + address {address}")]
    AddressAdded {
        /// The service.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// A service has lost an address.
    #[display("{service}: - address {address}")]
    AddressRemoved {
        /// The service.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// A service needs another service.
    #[display("{service}: + depends on {dependency}")]
    DependencyAdded {
        /// The service.
        service: ServiceName,
        /// The service it needs.
        dependency: ServiceName,
    },
    /// A service no longer needs another service.
    #[display("{service}: - depends on {dependency}")]
    DependencyRemoved {
        /// The service.
        service: ServiceName,
        /// The service it needed.
        dependency: ServiceName,
    },
    /// The slots changed.
    #[display("{service}: slots {from} -> {to}")]
    Slots {
        /// The service.
        service: ServiceName,
        /// The older number.
        from: Slots,
        /// The newer number.
        to: Slots,
    },
    /// The limit of connections changed.
    #[display("{service}: connections {from} -> {to}")]
    Connections {
        /// The service.
        service: ServiceName,
        /// The older limit.
        from: ConnectionLimit,
        /// The newer limit.
        to: ConnectionLimit,
    },
    /// A class is served.
    #[display("{service}: + class {class}")]
    ClassAdded {
        /// The service.
        service: ServiceName,
        /// The class.
        class: RequestClass,
    },
    /// A class is no longer served.
    #[display("{service}: - class {class}")]
    ClassRemoved {
        /// The service.
        service: ServiceName,
        /// The class.
        class: RequestClass,
    },
    /// The limits of a class changed.
    #[display("{service}: class {class} {} -> {}", show(from), show(to))]
    ClassLimits {
        /// The service.
        service: ServiceName,
        /// The class.
        class: RequestClass,
        /// The older limits.
        from: ClassLimits,
        /// The newer limits.
        to: ClassLimits,
    },
}

fn show(limits: &ClassLimits) -> String {
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
    changes.extend(lacking(&old_names, &new_names).map(ConfigChange::ServiceRemoved));
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
    changes.extend(lacking(&old_domains, &new_domains).map(ConfigChange::FailureDomainRemoved));
    changes.extend(lacking(&new_domains, &old_domains).map(ConfigChange::FailureDomainAdded));
}

/// Returns the items of `all` that the sorted list `kept` lacks.
fn lacking<'a, T: Ord + Clone>(all: &'a [T], kept: &'a [T]) -> impl Iterator<Item = T> + 'a {
    let lacks = |item: &&T| kept.binary_search(item).is_err();
    all.iter().filter(lacks).cloned()
}

fn diff_service(older: &ServiceConfig, newer: &ServiceConfig, changes: &mut Vec<ConfigChange>) {
    let service = &newer.name;
    let removed = lacking(&older.addresses, &newer.addresses);
    changes.extend(removed.map(|address| ConfigChange::AddressRemoved {
        service: service.clone(),
        address,
    }));
    let added = lacking(&newer.addresses, &older.addresses);
    changes.extend(added.map(|address| ConfigChange::AddressAdded {
        service: service.clone(),
        address,
    }));
    let removed = lacking(&older.depends_on, &newer.depends_on);
    changes.extend(removed.map(|dependency| ConfigChange::DependencyRemoved {
        service: service.clone(),
        dependency,
    }));
    let added = lacking(&newer.depends_on, &older.depends_on);
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
        changes.push(ConfigChange::Connections {
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
