//! Route tables, weighted services and configuration versions.

use cranberrypitch_core::Revision;
use cranberrypitch_core::flow::RouteTable;

use crate::support::{config, flow, route_address, tag};

/// Retransmissions of a SYN may reach several balancers, which must agree on the service.
#[test]
fn weighted_service_depends_on_the_flow_alone() {
    let config = config(1, &["matcher", "tracer"]);
    let route = &config.routes[0];
    let service = |port| route.service_for(&flow(port)).unwrap();
    let matcher = (0..1000).filter(|port| service(*port).as_str() == "matcher");
    let share = matcher.count();
    assert!((400..600).contains(&share), "{share} of 1000");
    assert_eq!(service(7), service(7));
}

#[test]
fn version_never_goes_back() {
    let mut routes = RouteTable::default();
    assert!(routes.apply(&config(5, &["matcher"])));
    assert!(!routes.apply(&config(5, &["tracer"])));
    assert!(!routes.apply(&config(4, &["tracer"])));
    assert_eq!(routes.version(), Some(Revision::new(5)));
    assert!(!routes.was_routed_to(route_address(), tag("tracer")));
}

/// Open flows stay at the service of an earlier route, so its agents are still queried for them.
#[test]
fn earlier_services_of_an_address_are_kept() {
    let mut routes = RouteTable::default();
    routes.apply(&config(1, &["matcher"]));
    routes.apply(&config(2, &["tracer"]));
    assert!(routes.was_routed_to(route_address(), tag("matcher")));
    assert!(routes.was_routed_to(route_address(), tag("tracer")));
}

/// A route whose weights are all 0 refuses flows instead of dividing by zero.
#[test]
fn route_without_weight_has_no_service() {
    let mut config = config(1, &["matcher"]);
    config.routes[0].backends[0].weight = 0;
    assert_eq!(config.routes[0].service_for(&flow(1)), None);
}
