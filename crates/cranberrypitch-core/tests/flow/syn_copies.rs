//! Retransmissions of SYNs, and packets of flows whose SYN has no reply.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::ServiceTag;
use cranberrypitch_core::flow::{Arrival, Dispatcher, FlowKey, Message, RefusalCause};

use crate::dispatcher::{dispatcher, local_records, open, send_request};
use crate::support::{
    agent_address, config, encode, flow, load, record, reset_count, sent_messages, syn, tag,
};

/// Passes a copy of the SYN of a flow to the balancer and returns the services and the receivers of the
/// requests to open the flow.
fn send_syn_copy(
    dispatcher: &mut Dispatcher,
    flow: FlowKey,
    now: Instant,
) -> Vec<(SocketAddrV4, ServiceTag)> {
    let header = syn(flow, 1);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    let opened = sent_messages(&actions)
        .into_iter()
        .filter_map(|(agent, message)| match message {
            Message::Open { params, .. } => Some((agent, params.service)),
            _ => None,
        });
    opened.collect()
}

/// Guards against packets of an open flow that go to a silent agent: another balancer opened the flow with
/// a retransmission of the SYN, which this one sent to an agent that does not reply.
#[test]
fn packet_of_a_flow_with_an_unanswered_syn_is_looked_up() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    let silent = open(&mut dispatcher, flow(1), now);
    let later = now + Duration::from_millis(60);
    dispatcher.on_tick(later);
    dispatcher.on_registered(&record(2, "matcher", "a"), later);
    let queried = send_request(&mut dispatcher, flow(1), later);
    assert!(queried.contains(&(agent_address(2), "lookup")));
    assert!(queried.contains(&(silent, "lookup")));
}

/// Guards against a request that runs at another service: the only target of a service is lost and its
/// address goes to another service, while copies of a SYN are sent to that address.
#[test]
fn copy_of_a_syn_names_the_service_of_its_flow_at_a_reused_address() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_report(&record(1, "tracer", "a"), load(0), now);
    assert_eq!(
        send_syn_copy(&mut dispatcher, flow(1), now),
        [(agent, tag("matcher"))]
    );
}

/// Guards against the same fault after the flow was accepted, and while the route changes.
#[test]
fn copy_of_a_syn_names_the_service_of_its_established_flow() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_open_accepted(agent, flow(1), now);
    dispatcher.on_report(&record(1, "tracer", "a"), load(0), now);
    let named = [(agent, tag("matcher"))];
    assert_eq!(send_syn_copy(&mut dispatcher, flow(1), now), named);
    dispatcher.on_config(&config(2, &["tracer"]));
    assert_eq!(send_syn_copy(&mut dispatcher, flow(1), now), named);
}

/// Guards against the reset of an open flow: the message that its target accepted it was lost or is late, and
/// all other targets refuse the SYN. The caller's next packet shows that the flow is open.
#[test]
fn flow_that_its_caller_uses_is_not_reset_when_other_targets_refuse_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    open(&mut dispatcher, flow(1), now);
    send_request(&mut dispatcher, flow(1), now + Duration::from_millis(20));
    let later = now + Duration::from_millis(60);
    let actions = dispatcher.on_tick(later);
    let (second, _) = sent_messages(&actions)[0];
    let refusal = RefusalCause::TargetFull;
    let actions = dispatcher.on_open_refused(second, flow(1), refusal, later);
    assert_eq!(reset_count(&actions), 0);
    let queried = send_request(&mut dispatcher, flow(1), later);
    assert!(!queried.is_empty(), "the flow is not looked up");
}
