//! Routes and their versions.

use cranberrypitch_core::Revision;
use cranberrypitch_core::flow::RouteTable;

use crate::support::{config, flow, route_address, tag};

/// Copies of an opening packet may reach several balancers, which must agree on the service.
#[test]
fn weighted_service_depends_on_the_flow_alone() {
    let config = config(1, &["matcher", "tracer"]);
    let route = &config.routes[0];
    let chosen = |port| route.service_for(&flow(port)).unwrap();
    let matcher = (0..1000).filter(|port| chosen(*port).as_str() == "matcher");
    let share = matcher.count();
    assert!((400..600).contains(&share), "{share} of 1000");
    assert_eq!(chosen(7), chosen(7));
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

/// Open flows stay at the service of before, so it is still asked for them.
#[test]
fn earlier_services_of_an_address_are_remembered() {
    let mut routes = RouteTable::default();
    routes.apply(&config(1, &["matcher"]));
    routes.apply(&config(2, &["tracer"]));
    assert!(routes.was_routed_to(route_address(), tag("matcher")));
    assert!(routes.was_routed_to(route_address(), tag("tracer")));
}

/// A route without weight refuses flows instead of dividing by zero.
#[test]
fn route_without_weight_has_no_service() {
    let mut config = config(1, &["matcher"]);
    config.routes[0].backends[0].weight = 0;
    assert_eq!(config.routes[0].service_for(&flow(1)), None);
}
