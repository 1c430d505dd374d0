//! The SYN backlog of an agent while its target is busy.

use std::time::{Duration, Instant};

use cranberrypitch_core::TargetState;
use cranberrypitch_core::flow::{
    Action, FlowAgent, Message, PacketFlags, RefusalCause, StatusReport,
};

use crate::agent::{accept, forward, open, with_target};
use crate::support::{
    balancer_address, decode, encode, flow, from_target, owned_message, params, sent_messages,
    status_report, syn,
};

/// Opens flows with a request each until the target, which has four slots, is busy.
pub(crate) fn make_busy(agent: &mut FlowAgent, now: Instant) {
    for port in 1..=8 {
        open(agent, port, now);
        accept(agent, port, 5000, now);
        forward(agent, port, 5001, now);
    }
}

/// Requests to open a flow at a busy target and returns the messages to the balancer.
pub(crate) fn open_queued(agent: &mut FlowAgent, port: u16, now: Instant) -> Vec<Message<'static>> {
    open_queued_with_priority(agent, port, 0, now)
}

fn open_queued_with_priority(
    agent: &mut FlowAgent,
    port: u16,
    priority: u8,
    now: Instant,
) -> Vec<Message<'static>> {
    let header = syn(flow(port), 0);
    let packet = encode(&header);
    let params = params(priority, None);
    let actions = agent.on_open(balancer_address(1), params, &header, &packet, now);
    assert!(passed_to_target(&actions).is_empty());
    let messages = actions.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.map(owned_message).collect()
}

/// Returns the ports of the callers whose packets are passed to the target.
fn passed_to_target(actions: &[Action<'_>]) -> Vec<u16> {
    let ports = actions.iter().filter_map(|action| match action {
        Action::SendToTarget(packet) => Some(decode(packet).source.port()),
        _ => None,
    });
    ports.collect()
}

fn respond(agent: &mut FlowAgent, port: u16, now: Instant) -> Vec<u16> {
    let response = from_target(flow(port), PacketFlags::ACK, 5001, 500);
    passed_to_target(&agent.on_target_packet(&response, &encode(&response), now))
}

/// After a power failure more callers arrive than the targets can serve. In a FIFO queue all of them
/// became late: 1,477 of 3,079 requests. The newest SYN is admitted first.
#[test]
fn newest_syn_gets_the_next_slot() {
    let now = Instant::now();
    let mut agent = with_target(now);
    make_busy(&mut agent, now);
    let queued = |port| vec![Message::OpenQueued { flow: flow(port) }];
    assert_eq!(open_queued(&mut agent, 20, now), queued(20));
    assert_eq!(open_queued(&mut agent, 21, now), queued(21));
    // A retransmission is not queued a second time.
    assert_eq!(open_queued(&mut agent, 20, now), queued(20));
    assert_eq!(respond(&mut agent, 1, now), [21]);
    assert_eq!(respond(&mut agent, 2, now), [20]);
    assert_eq!(respond(&mut agent, 3, now), [0; 0]);
}

/// During recovery and bursts, SYNs with a higher priority are admitted first: the operator ranks orders
/// before feeds, and a late order has a tenth of its value.
#[test]
fn syn_with_the_highest_priority_gets_the_next_slot() {
    let now = Instant::now();
    let mut agent = with_target(now);
    make_busy(&mut agent, now);
    for (port, priority) in [(20, 2), (21, 1), (22, 1), (23, 2)] {
        open_queued_with_priority(&mut agent, port, priority, now);
    }
    let order: Vec<_> = (1..=4)
        .flat_map(|port| respond(&mut agent, port, now))
        .collect();
    assert_eq!(order, [22, 21, 23, 20]);
}

/// A SYN that times out in the backlog is refused while its caller still has time to retry.
#[test]
fn syn_that_times_out_in_the_backlog_is_refused() {
    let now = Instant::now();
    let mut agent = with_target(now);
    make_busy(&mut agent, now);
    open_queued(&mut agent, 20, now);
    let refused = Message::OpenRefused {
        flow: flow(20),
        cause: RefusalCause::Overloaded,
    };
    let is_refused =
        |actions: &[Action<'_>]| sent_messages(actions).iter().any(|(_, m)| **m == refused);
    assert!(!is_refused(
        &agent.on_tick(now + Duration::from_millis(300))
    ));
    assert!(is_refused(&agent.on_tick(now + Duration::from_millis(400))));
    assert_eq!(respond(&mut agent, 1, now), [0; 0]);
}

/// A queued SYN must not reach a target that starts draining in the meantime.
#[test]
fn queued_syn_is_not_passed_to_a_draining_target() {
    let now = Instant::now();
    let mut agent = with_target(now);
    make_busy(&mut agent, now);
    open_queued(&mut agent, 20, now);
    let draining = StatusReport {
        state: TargetState::Draining,
        ..status_report("i-1", 1, 2)
    };
    agent.on_status_report(draining, now);
    let response = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    let packet = encode(&response);
    let actions = agent.on_target_packet(&response, &packet, now);
    assert_eq!(passed_to_target(&actions), [0; 0]);
    let refused = Message::OpenRefused {
        flow: flow(20),
        cause: RefusalCause::Draining,
    };
    assert!(sent_messages(&actions).contains(&(balancer_address(1), &refused)));
}

/// A target that did not respond to requests looked busy for the lifetime of their flows, and SYNs were
/// queued for it while it was idle again.
#[test]
fn request_without_a_response_counts_as_running_for_a_limited_time() {
    let now = Instant::now();
    let mut agent = with_target(now);
    make_busy(&mut agent, now);
    let later = now + Duration::from_secs(10);
    agent.on_status_report(status_report("i-1", 1, 2), later);
    agent.on_tick(later);
    assert_eq!(agent.running_requests(later), 0);
    assert_eq!(open(&mut agent, 30, later), None);
}
