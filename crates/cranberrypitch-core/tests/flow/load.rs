//! The load of a target as its agent counts it.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{PacketFlags, RefusalCause};

use crate::agent::{accept, forward, open, open_expecting, with_target};
use crate::support::{balancer_address, encode, flow, from_target, request};

#[test]
fn running_requests_are_counted() {
    let now = Instant::now();
    let mut agent = with_target(now);
    for port in 1..=3 {
        open(&mut agent, port, now);
        accept(&mut agent, port, 5000, now);
        forward(&mut agent, port, 5001, now);
        forward(&mut agent, port, 5001, now);
    }
    assert_eq!(agent.running_requests(now), 3);
    let response = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    agent.on_target_packet(&response, &encode(&response), now);
    agent.on_target_packet(&response, &encode(&response), now);
    assert_eq!(agent.running_requests(now), 2);
}

/// After a power failure callers give up hundreds of requests. Each one counted as running for seconds
/// after its flow had closed, so idle targets looked overloaded and their flows went to other targets.
#[test]
fn abandoned_request_stops_running_when_its_flow_closes() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    forward(&mut agent, 1, 5001, now);
    let mut caller_fin = request(flow(1), 5001);
    caller_fin.seq_number += u32::from(caller_fin.payload_len_bytes);
    caller_fin.payload_len_bytes = 0;
    caller_fin.flags = PacketFlags::ACK.with(PacketFlags::FIN);
    agent.on_forward(balancer_address(1), &caller_fin, &encode(&caller_fin), now);
    assert_eq!(
        agent.running_requests(now),
        1,
        "the target may still be processing it"
    );
    let target_fin = from_target(flow(1), PacketFlags::ACK.with(PacketFlags::FIN), 5001, 0);
    agent.on_target_packet(&target_fin, &encode(&target_fin), now);
    assert_eq!(agent.running_requests(now), 0);
}

/// A caller retransmits a request whose response takes longer than 200 ms. A retransmission that crossed
/// the response counted as another request, which ended with the next response of the flow or never.
#[test]
fn late_retransmission_does_not_count_as_running() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    forward(&mut agent, 1, 5001, now);
    let response = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    agent.on_target_packet(&response, &encode(&response), now);
    forward(&mut agent, 1, 5001, now);
    assert_eq!(agent.running_requests(now), 0);
    let mut next = request(flow(1), 5501);
    next.seq_number += u32::from(next.payload_len_bytes);
    agent.on_forward(balancer_address(1), &next, &encode(&next), now);
    assert_eq!(agent.running_requests(now), 1);
}

/// After a power failure several balancers receive the same report of a low load and all open flows
/// there, 30 to 60 in the 200 ms until the next report. The agent declines flows beyond the load that
/// each balancer expects.
#[test]
fn opens_based_on_an_old_report_are_declined() {
    let now = Instant::now();
    let mut agent = with_target(now);
    // New flows count as load, as their first requests arrive within a round trip.
    let expected = Some(1);
    let accepted =
        (1..=40).filter(|port| open_expecting(&mut agent, *port, expected, now).is_none());
    assert_eq!(
        accepted.count(),
        5,
        "the 4 slots in addition to the expected request"
    );
    assert_eq!(open_expecting(&mut agent, 50, Some(4), now), None);
    assert_eq!(
        open_expecting(&mut agent, 51, None, now),
        None,
        "without a number of expected requests the agent does not decline"
    );
    let cause = open_expecting(&mut agent, 52, Some(2), now);
    assert_eq!(cause, Some(RefusalCause::BusierThanExpected));
    // A retransmission of a SYN that the target already has does not open a new flow.
    assert_eq!(open_expecting(&mut agent, 1, expected, now), None);
    let later = now + Duration::from_millis(100);
    assert_eq!(open_expecting(&mut agent, 60, expected, later), None);
}
