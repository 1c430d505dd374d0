//! Flows whose target sends so much that its sequence numbers wrap.

use std::time::Instant;

use cranberrypitch_core::flow::{FlowAgent, LookupAnswer, PacketFlags};

use crate::agent::{accept, forward, lookup, open, with_target};
use crate::support::{encode, flow, from_target};

const PAYLOAD_BYTES: u16 = 60_000;

/// Returns an agent whose target accepted a flow with the given number and sent packets on it, and the number after
/// the last byte.
fn agent_after(first_seq: u32, packets: u32, now: Instant) -> (FlowAgent, u32) {
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, first_seq, now);
    let mut next = first_seq.wrapping_add(1);
    for _ in 0..packets {
        let header = from_target(flow(1), PacketFlags::ACK, next, PAYLOAD_BYTES);
        agent.on_target_packet(&header, &encode(&header), now);
        next = next.wrapping_add(u32::from(PAYLOAD_BYTES));
    }
    (agent, next)
}

/// Guards against the loss of a flow on which the target has sent more than 2 GiB.
#[test]
fn flow_of_more_than_2_gib_is_held() {
    let now = Instant::now();
    let (mut agent, next) = agent_after(5000, 36_001, now);
    assert_eq!(lookup(&mut agent, 1, next, now), LookupAnswer::Held);
    assert_eq!(forward(&mut agent, 1, next, now), "target");
}

/// Guards against the loss of a flow whose numbers have wrapped and come near the first one again.
#[test]
fn flow_of_more_than_4_gib_is_held() {
    let now = Instant::now();
    let (mut agent, next) = agent_after(u32::MAX - 100, 71_700, now);
    let late = next.wrapping_sub(u32::from(PAYLOAD_BYTES) * 16);
    for ack_number in [late, next, next.wrapping_add(1)] {
        assert_eq!(forward(&mut agent, 1, ack_number, now), "target");
    }
}

/// Guards against a flow of another target that is taken for one of this target: a number that the target has not
/// sent yet stays denied, however much it has sent.
#[test]
fn number_that_was_not_sent_yet_is_denied_on_a_long_flow() {
    let now = Instant::now();
    let (mut agent, next) = agent_after(5000, 71_700, now);
    let ahead = next.wrapping_add(1_000_000);
    assert_eq!(lookup(&mut agent, 1, ahead, now), LookupAnswer::NotHeld);
}
