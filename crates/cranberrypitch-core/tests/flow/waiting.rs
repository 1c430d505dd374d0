//! Opening packets that wait at an agent while its target is busy.

use std::time::{Duration, Instant};

use cranberrypitch_core::TargetState;
use cranberrypitch_core::flow::{
    Action, Endpoint, Message, PacketFlags, RefusalCause, StatusReport,
};

use crate::endpoint::{accept, forward, open, with_target};
use crate::support::{
    balancer_address, flow, from_target, head, opening, owned_message, packet, params, sent, status,
};

/// Opens flows until the target of four slots is occupied, each with a request.
fn occupy(endpoint: &mut Endpoint, now: Instant) {
    for port in 1..=8 {
        open(endpoint, port, now);
        accept(endpoint, port, 5000, now);
        forward(endpoint, port, 5001, now);
    }
}

/// Offers a flow to a busy target and returns the messages to its balancer.
fn offer(endpoint: &mut Endpoint, port: u16, now: Instant) -> Vec<Message<'static>> {
    offer_with(endpoint, port, 0, now)
}

fn offer_with(
    endpoint: &mut Endpoint,
    port: u16,
    priority: u8,
    now: Instant,
) -> Vec<Message<'static>> {
    let head = opening(flow(port), 0);
    let bytes = packet(&head);
    let params = params(priority, None);
    let actions = endpoint.on_open(balancer_address(1), params, &head, &bytes, now);
    assert!(to_target(&actions).is_empty());
    let messages = actions.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.map(owned_message).collect()
}

/// Returns the ports of the callers whose packets go to the target.
fn to_target(actions: &[Action<'_>]) -> Vec<u16> {
    let ports = actions.iter().filter_map(|action| match action {
        Action::SendToTarget(packet) => Some(head(packet).source.port()),
        _ => None,
    });
    ports.collect()
}

fn answer(endpoint: &mut Endpoint, port: u16, now: Instant) -> Vec<u16> {
    let answer = from_target(flow(port), PacketFlags::ACK, 5001, 500);
    to_target(&endpoint.on_target_packet(&answer, &packet(&answer), now))
}

/// Recovery: after a loss of power more callers come than the targets serve, and in a queue all of them
/// become late (cvt-balanceio-grown, trouble-2: 1,477 of 3,079). The newest caller goes first.
#[test]
fn newest_opening_gets_the_next_slot() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    occupy(&mut endpoint, now);
    let waits = |port| vec![Message::OpenQueued { flow: flow(port) }];
    assert_eq!(offer(&mut endpoint, 20, now), waits(20));
    assert_eq!(offer(&mut endpoint, 21, now), waits(21));
    // A copy waits with the first packet.
    assert_eq!(offer(&mut endpoint, 20, now), waits(20));
    assert_eq!(answer(&mut endpoint, 1, now), [21]);
    assert_eq!(answer(&mut endpoint, 2, now), [20]);
    assert_eq!(answer(&mut endpoint, 3, now), [0; 0]);
}

/// Recovery and bursts: the operator ranks orders before feeds, and a late order is worth a tenth as much.
#[test]
fn most_urgent_opening_gets_the_next_slot() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    occupy(&mut endpoint, now);
    for (port, priority) in [(20, 2), (21, 1), (22, 1), (23, 2)] {
        offer_with(&mut endpoint, port, priority, now);
    }
    let order: Vec<_> = (1..=4)
        .flat_map(|port| answer(&mut endpoint, port, now))
        .collect();
    assert_eq!(order, [22, 21, 23, 20]);
}

/// A caller whose opening packet waits for too long is told while it has time to come back.
#[test]
fn opening_that_waits_too_long_is_refused() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    occupy(&mut endpoint, now);
    offer(&mut endpoint, 20, now);
    let refused = Message::OpenRefused {
        flow: flow(20),
        cause: RefusalCause::Overloaded,
    };
    let is_refused = |actions: &[Action<'_>]| sent(actions).iter().any(|(_, m)| **m == refused);
    assert!(!is_refused(
        &endpoint.on_tick(now + Duration::from_millis(300))
    ));
    assert!(is_refused(
        &endpoint.on_tick(now + Duration::from_millis(400))
    ));
    assert_eq!(answer(&mut endpoint, 1, now), [0; 0]);
}

/// A flow that waits must not reach a target that leaves meanwhile.
#[test]
fn opening_that_waits_is_not_passed_to_a_draining_target() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    occupy(&mut endpoint, now);
    offer(&mut endpoint, 20, now);
    let draining = StatusReport {
        state: TargetState::Draining,
        ..status("i-1", 1, 2)
    };
    endpoint.on_status_report(draining, now);
    let finished = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    let bytes = packet(&finished);
    let actions = endpoint.on_target_packet(&finished, &bytes, now);
    assert_eq!(to_target(&actions), [0; 0]);
    let refused = Message::OpenRefused {
        flow: flow(20),
        cause: RefusalCause::Draining,
    };
    assert!(sent(&actions).contains(&(balancer_address(1), &refused)));
}

/// A target that leaves requests without an answer (`srv_grey`, mute) looked busy for as long as their
/// flows lived, and openings waited there while it was idle again.
#[test]
fn request_without_an_answer_occupies_its_target_for_a_limited_time() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    occupy(&mut endpoint, now);
    let later = now + Duration::from_secs(10);
    endpoint.on_status_report(status("i-1", 1, 2), later);
    endpoint.on_tick(later);
    assert_eq!(endpoint.running_requests(later), 0);
    assert_eq!(open(&mut endpoint, 30, later), None);
}
