//! What an agent counts as the load of its target.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{PacketFlags, RefusalCause};

use crate::endpoint::{accept, forward, open, open_expecting, with_target};
use crate::support::{balancer_address, flow, from_target, packet, request};

#[test]
fn running_requests_are_counted() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    for port in 1..=3 {
        open(&mut endpoint, port, now);
        accept(&mut endpoint, port, 5000, now);
        forward(&mut endpoint, port, 5001, now);
        forward(&mut endpoint, port, 5001, now);
    }
    assert_eq!(endpoint.running_requests(now), 3);
    let answer = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    endpoint.on_target_packet(&answer, &packet(&answer), now);
    endpoint.on_target_packet(&answer, &packet(&answer), now);
    assert_eq!(endpoint.running_requests(now), 2);
}

/// After a loss of power callers give up hundreds of requests. Each one counted as running for seconds
/// after its flow had closed, so idle targets looked overloaded and others got their flows.
#[test]
fn request_that_was_given_up_runs_no_longer_once_its_flow_closes() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    forward(&mut endpoint, 1, 5001, now);
    let mut end = request(flow(1), 5001);
    end.seq_number += u32::from(end.payload_len_bytes);
    end.payload_len_bytes = 0;
    end.flags = PacketFlags::ACK.with(PacketFlags::FIN);
    endpoint.on_forward(balancer_address(1), &end, &packet(&end), now);
    assert_eq!(
        endpoint.running_requests(now),
        1,
        "the target may still work on it"
    );
    let closing = from_target(flow(1), PacketFlags::ACK.with(PacketFlags::FIN), 5001, 0);
    endpoint.on_target_packet(&closing, &packet(&closing), now);
    assert_eq!(endpoint.running_requests(now), 0);
}

/// A caller sends a request again when its answer takes longer than 200 ms. A copy that crosses the
/// answer counted as another request, which ended with the next answer of the flow or never.
#[test]
fn late_copy_of_an_answered_request_does_not_run() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    forward(&mut endpoint, 1, 5001, now);
    let answer = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    endpoint.on_target_packet(&answer, &packet(&answer), now);
    forward(&mut endpoint, 1, 5001, now);
    assert_eq!(endpoint.running_requests(now), 0);
    let mut next = request(flow(1), 5501);
    next.seq_number += u32::from(next.payload_len_bytes);
    endpoint.on_forward(balancer_address(1), &next, &packet(&next), now);
    assert_eq!(endpoint.running_requests(now), 1);
}

/// Recovery: after a loss of power several balancers see one low report and all open flows there, 30 to
/// 60 in the 200 ms until the next one. The agent declines what comes on top of what each expects.
#[test]
fn openings_on_an_old_report_are_declined() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    // Flows on their way count: their requests follow within a round trip.
    let expected = Some(1);
    let taken =
        (1..=40).filter(|port| open_expecting(&mut endpoint, *port, expected, now).is_none());
    assert_eq!(
        taken.count(),
        5,
        "4 slots more than the one that is expected"
    );
    assert_eq!(open_expecting(&mut endpoint, 50, Some(4), now), None);
    assert_eq!(
        open_expecting(&mut endpoint, 51, None, now),
        None,
        "no agent is better"
    );
    let cause = open_expecting(&mut endpoint, 52, Some(2), now);
    assert_eq!(cause, Some(RefusalCause::BusierThanExpected));
    // A copy of a packet that opened a flow here is no new flow.
    assert_eq!(open_expecting(&mut endpoint, 1, expected, now), None);
    let later = now + Duration::from_millis(100);
    assert_eq!(open_expecting(&mut endpoint, 60, expected, later), None);
}
