//! Agents that do not answer.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{Dispatcher, LookupAnswer, Message};

use crate::dispatcher::{dispatcher, open};
use crate::support::{agent_address, flow, load, packet, record, request, resets, sent};

const STEP: Duration = Duration::from_millis(100);

fn held(now: Instant) -> (Dispatcher, SocketAddrV4) {
    let records = vec![record(1, "matcher", "a"), record(2, "matcher", "a")];
    let mut dispatcher = dispatcher(records, now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_open_accepted(agent, flow(1), now);
    (dispatcher, agent)
}

/// Sends a packet of the flow and returns who was asked and who got the packet.
fn send(dispatcher: &mut Dispatcher, now: Instant) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
    let head = request(flow(1), 77);
    let bytes = packet(&head);
    let actions = dispatcher.on_packet(&head, &bytes, now);
    let (mut asked, mut forwarded) = (Vec::new(), Vec::new());
    for (peer, message) in sent(&actions) {
        match message {
            Message::Lookup { .. } => asked.push(peer),
            Message::Forward { .. } => forwarded.push(peer),
            other => panic!("{other:?}"),
        }
    }
    (asked, forwarded)
}

/// Packets for an agent that died went on until its registration lapsed, and callers waited for
/// their deadlines.
#[test]
fn flow_of_a_silent_agent_ends_after_three_questions() {
    let now = Instant::now();
    let (mut dispatcher, agent) = held(now);
    let other = [agent_address(1), agent_address(2)]
        .into_iter()
        .find(|a| *a != agent);
    let mut at = now + Duration::from_millis(500);
    for _ in 0..3 {
        assert_eq!(send(&mut dispatcher, at), (vec![agent], vec![agent]));
        at += STEP;
    }
    let (asked, forwarded) = send(&mut dispatcher, at);
    assert!(asked.contains(&agent) && forwarded.is_empty());

    dispatcher.on_lookup_reply(other.unwrap(), flow(1), LookupAnswer::NotHeld, at);
    dispatcher.on_tick(at + STEP);
    let actions = dispatcher.on_agents_refreshed(at + STEP, at + STEP);
    assert_eq!(resets(&actions), 1, "{actions:?}");
}

/// Any message of the agent shows that it is there.
#[test]
fn agent_that_reports_is_not_asked() {
    let now = Instant::now();
    let (mut dispatcher, agent) = held(now);
    let index = agent.ip().octets()[3];
    for tenths in 1..50 {
        let at = now + STEP * tenths;
        dispatcher.on_report(&record(index, "matcher", "a"), load(1), at);
        assert_eq!(send(&mut dispatcher, at), (vec![], vec![agent]));
    }
}

/// Hundreds of flows are asked for at once when a balancer leaves; that many questions in a moment
/// are no sign of silence.
#[test]
fn many_questions_at_once_count_as_one() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(vec![record(1, "matcher", "a")], now);
    for port in 1..100 {
        let head = request(flow(port), 77);
        let bytes = packet(&head);
        dispatcher.on_packet(&head, &bytes, now);
    }
    let actions =
        dispatcher.on_lookup_reply(agent_address(1), flow(1), LookupAnswer::Held, now + STEP);
    assert_eq!(sent(&actions).len(), 1);
    for port in 2..100 {
        let answer = LookupAnswer::Held;
        let actions = dispatcher.on_lookup_reply(agent_address(1), flow(port), answer, now + STEP);
        assert_eq!(sent(&actions).len(), 1, "flow {port}");
    }
}
