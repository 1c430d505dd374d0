//! Detection of unresponsive agents.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    AgentRecord, Arrival, Dispatcher, HeldFlows, LookupAnswer, Message,
};
use cranberrypitch_core::{Incarnation, TargetState};

use crate::dispatcher::{dispatcher, open};
use crate::support::{
    agent_address, encode, flow, load, record, request, reset_count, sent_messages,
};

const STEP: Duration = Duration::from_millis(100);

/// Returns a dispatcher with an established flow and the agent of the flow.
fn established(now: Instant) -> (Dispatcher, SocketAddrV4) {
    let records = vec![record(1, "matcher", "a"), record(2, "matcher", "a")];
    let mut dispatcher = dispatcher(records, now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_open_accepted(agent, flow(1), now);
    (dispatcher, agent)
}

/// Sends a packet of the flow. Returns the agents that were queried and those that got the packet.
fn send(dispatcher: &mut Dispatcher, now: Instant) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
    let header = request(flow(1), 77);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    let (mut queried, mut forwarded) = (Vec::new(), Vec::new());
    for (peer, message) in sent_messages(&actions) {
        match message {
            Message::Lookup { .. } => queried.push(peer),
            Message::Forward { .. } => forwarded.push(peer),
            other => panic!("unexpected message: {other:?}"),
        }
    }
    (queried, forwarded)
}

/// Guards against the reset of a flow whose agent is only slow or starts again: while its registration lasts,
/// its silence does not show that the target has lost the flow, and packets are forwarded to it.
#[test]
fn flow_of_a_silent_agent_is_kept_while_it_is_registered() {
    let now = Instant::now();
    let (mut dispatcher, agent) = established(now);
    let mut resets = 0;
    for step in 1..=100 {
        let at = now + STEP * step;
        let (_, forwarded) = send(&mut dispatcher, at);
        assert_eq!(forwarded, [agent], "{step}");
        resets += reset_count(&dispatcher.on_tick(at));
        resets += reset_count(&dispatcher.on_agents_refreshed(at, at));
    }
    assert_eq!(resets, 0);
}

/// Guards against callers that wait for the agent of a lost VM: once its registration has ended, one query
/// without an answer shows that it is gone.
#[test]
fn flow_of_a_silent_agent_is_reset_after_the_end_of_its_registration() {
    let now = Instant::now();
    let (mut dispatcher, agent) = established(now);
    let other = [agent_address(1), agent_address(2)]
        .into_iter()
        .find(|a| *a != agent);
    let mut at = now + Duration::from_secs(4);
    dispatcher.on_unregistered(agent, at);
    assert_eq!(send(&mut dispatcher, at), (vec![agent], vec![agent]));
    at += STEP;
    let (queried, forwarded) = send(&mut dispatcher, at);
    assert!(queried.contains(&agent) && forwarded.is_empty());

    dispatcher.on_lookup_reply(other.unwrap(), flow(1), LookupAnswer::NotHeld, at);
    dispatcher.on_tick(at + STEP);
    let actions = dispatcher.on_agents_refreshed(at + STEP, at + STEP);
    assert_eq!(reset_count(&actions), 1, "{actions:?}");
}

/// Any message of an agent shows that it is responsive.
#[test]
fn agent_that_reports_is_not_queried() {
    let now = Instant::now();
    let (mut dispatcher, agent) = established(now);
    let index = agent.ip().octets()[3];
    for tenths in 1..50 {
        let at = now + STEP * tenths;
        dispatcher.on_report(&record(index, "matcher", "a"), load(1), at);
        assert_eq!(send(&mut dispatcher, at), (vec![], vec![agent]));
    }
}

/// Hundreds of flows are looked up at once when another balancer stops. Queries that are sent at the same
/// time must not count as several unanswered queries.
#[test]
fn simultaneous_queries_count_as_one() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(vec![record(1, "matcher", "a")], now);
    for port in 1..100 {
        let header = request(flow(port), 77);
        let packet = encode(&header);
        dispatcher.on_packet(&header, &packet, Arrival::at(now));
    }
    let actions =
        dispatcher.on_lookup_reply(agent_address(1), flow(1), LookupAnswer::Held, now + STEP);
    assert_eq!(sent_messages(&actions).len(), 1);
    for port in 2..100 {
        let answer = LookupAnswer::Held;
        let actions = dispatcher.on_lookup_reply(agent_address(1), flow(port), answer, now + STEP);
        assert_eq!(sent_messages(&actions).len(), 1, "flow {port}");
    }
}

/// Guards against a caller that waits for a third packet: the agent of its flow was lost and its address is used again
/// by an agent whose record excludes the flow, and which is silent from the first packet on.
#[test]
fn silent_agent_at_a_reused_address_is_queried_with_the_first_packet() {
    let now = Instant::now();
    let (mut dispatcher, agent) = established(now);
    let lost = now + Duration::from_secs(4);
    dispatcher.on_unregistered(agent, lost);
    let removed = lost + Duration::from_secs(4);
    dispatcher.on_tick(removed);
    let index = agent.ip().octets()[3];
    let draining = AgentRecord {
        state: TargetState::Draining,
        incarnation: Incarnation::new(2),
        held_flows: HeldFlows::new([flow(2)]),
        ..record(index, "tracer", "a")
    };
    dispatcher.on_registered(&draining, removed);
    assert_eq!(send(&mut dispatcher, removed), (vec![agent], vec![agent]));
}
