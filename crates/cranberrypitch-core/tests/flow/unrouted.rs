//! Packets to addresses without a route, which was dropped or is not known yet.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, Arrival, BufferedPacket, DropCause, FlowEvent, RouteConfig,
};

use crate::dispatcher::{dispatcher, local_records, open, send_request};
use crate::support::{agent_address, config, encode, events, flow, request, reset_count, syn};

fn config_without_routes(version: u64) -> RouteConfig {
    RouteConfig {
        routes: Box::default(),
        ..config(version, &["matcher"])
    }
}

/// Flows to an address whose route was removed are reset once the configuration was read after their
/// packets, and no packet is forwarded any more.
#[test]
fn flows_of_a_dropped_route_are_reset() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_open_accepted(agent, flow(1), now);
    dispatcher.on_config(&config_without_routes(2));
    let header = request(flow(1), 77);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    assert_eq!(actions, [Action::CheckConfig]);
    assert_eq!(reset_count(&dispatcher.on_config_read(now)), 1);
    assert_eq!(dispatcher.flow_count(), 0);
}

/// Guards against a wait for a new flow that can't be served: its refusal is true at once.
#[test]
fn new_flow_without_a_route_is_reset_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    dispatcher.on_config(&config_without_routes(2));
    let header = syn(flow(1), 0);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    assert_eq!(reset_count(&actions), 1);
}

/// Guards against the reset of an open flow by a balancer that does not know its route yet: the
/// configuration was read before the flow's packet arrived.
#[test]
fn flow_of_a_route_that_is_not_known_yet_is_looked_up_once_it_is() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    dispatcher.on_config(&config_without_routes(2));
    let header = request(flow(1), 77);
    let packet = encode(&header);
    dispatcher.on_packet(&header, &packet, Arrival::at(now));
    dispatcher.on_packet(&header, &packet, Arrival::at(now));
    let earlier = now.checked_sub(Duration::from_millis(1)).unwrap();
    assert_eq!(reset_count(&dispatcher.on_config_read(earlier)), 0);
    dispatcher.on_config(&config(3, &["matcher"]));
    assert_eq!(reset_count(&dispatcher.on_config_read(now)), 0);
    let packets = dispatcher.take_buffered_packets(now);
    let arrival = Arrival::at(now);
    let packet = packet.into_boxed_slice();
    assert_eq!(packets, [BufferedPacket { packet, arrival }]);
    assert_eq!(
        send_request(&mut dispatcher, flow(1), now),
        [(agent_address(1), "lookup")]
    );
}

/// Guards against entries of flows without a route that stay while the store can't be read.
#[test]
fn wait_for_a_route_ends() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    dispatcher.on_config(&config_without_routes(2));
    let header = request(flow(1), 77);
    dispatcher.on_packet(&header, &encode(&header), Arrival::at(now));
    let actions = dispatcher.on_tick(now + Duration::from_millis(1400));
    assert_eq!(reset_count(&actions), 0);
    assert_eq!(
        events(&actions),
        [&FlowEvent::Dropped {
            flow: flow(1),
            cause: DropCause::RouteUnknown
        }]
    );
    assert_eq!(dispatcher.flow_count(), 0);
}
