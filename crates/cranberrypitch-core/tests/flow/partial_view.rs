//! Flows of which an agent has seen only a part, as it started after they were opened.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, FlowAgent, FlowEvent, FlowView, LookupAnswer, Message, PacketFlags,
};

use crate::agent::{accept, bounce, forward, lookup, open, restarted_agent, with_target};
use crate::support::{
    balancer_address, encode, events, flow, from_target, request, reset_count, sent_messages,
    status_report,
};

/// The number of the target's SYN-ACK in these tests.
const FIRST_SEQ: u32 = 5000;

/// What the caller acknowledges after responses of 300 bytes.
const LATER_ACK: u32 = FIRST_SEQ + 300;

/// What the caller acknowledges if another target holds the flow.
const ACK_OF_OTHER_TARGET: u32 = 900_000;

/// Returns an agent that starts beside a target which runs already.
fn agent_of_older_target(now: Instant) -> FlowAgent {
    let mut agent = restarted_agent(now);
    agent.on_status_report(status_report("i-1", 1, 5), now);
    agent
}

/// Passes a late copy of the SYN of a flow to a target, which accepts it, or accepted it before the agent started.
fn pass_late_syn(agent: &mut FlowAgent, now: Instant) {
    assert_eq!(open(agent, 1, now), None);
    accept(agent, 1, FIRST_SEQ, now);
}

/// Lets the target send data, which it does only on a flow whose handshake it has the end of.
fn send_response(agent: &mut FlowAgent, seq_number: u32, now: Instant) -> Vec<Action<'static>> {
    let header = from_target(flow(1), PacketFlags::ACK, seq_number, 100);
    let packet = encode(&header);
    let actions = agent.on_target_packet(&header, &packet, now);
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send {
            peer,
            message: Message::OpenAccepted { flow },
        } => Some(Action::Send {
            peer,
            message: Message::OpenAccepted { flow },
        }),
        _ => None,
    });
    sent.collect()
}

fn is_returned_to_balancer(actions: &[Action<'_>]) -> bool {
    let is_returned = |message: &Message<'_>| matches!(message, Message::PacketReturned { .. });
    let sent = sent_messages(actions);
    sent.iter().any(|(_, message)| is_returned(message)) && reset_count(actions) == 0
}

/// Guards against the reset of an open flow: its agent was restarted, and a copy of its SYN arrived late. The SYN-ACK
/// gave the agent the first number of the target without the bytes that it had sent before the restart.
#[test]
fn late_syn_after_a_restart_does_not_deny_an_open_flow() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    pass_late_syn(&mut agent, now);
    assert_eq!(
        lookup(&mut agent, 1, LATER_ACK, now),
        LookupAnswer::MayBeHeld
    );
    assert_eq!(forward(&mut agent, 1, LATER_ACK, now), "target");
    let accepted = send_response(&mut agent, LATER_ACK, now);
    assert_eq!(
        sent_messages(&accepted).len(),
        1,
        "the balancer is not told that the target holds the flow"
    );
    assert_eq!(lookup(&mut agent, 1, LATER_ACK, now), LookupAnswer::Held);
}

/// Guards against the same fault if a packet of the caller came before the late SYN, so that the flow was presumed
/// to be held.
#[test]
fn late_syn_does_not_deny_a_flow_that_is_presumed_held() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    assert_eq!(forward(&mut agent, 1, LATER_ACK, now), "target");
    let later = now + Duration::from_millis(900);
    agent.on_status_report(status_report("i-1", 1, 6), later);
    agent.on_tick(later);
    assert_eq!(lookup(&mut agent, 1, LATER_ACK, later), LookupAnswer::Held);
    pass_late_syn(&mut agent, later);
    assert_eq!(forward(&mut agent, 1, LATER_ACK, later), "target");
}

/// Guards against the same fault if the target had sent data of the flow before the late SYN.
#[test]
fn late_syn_does_not_deny_a_flow_whose_target_sends_data() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    assert_eq!(forward(&mut agent, 1, LATER_ACK, now), "target");
    send_response(&mut agent, LATER_ACK, now);
    pass_late_syn(&mut agent, now);
    let next = LATER_ACK + 100;
    assert_eq!(lookup(&mut agent, 1, next, now), LookupAnswer::Held);
    assert_eq!(forward(&mut agent, 1, next, now), "target");
}

/// Guards against the same fault beside a target that does not listen for health checks: that its port refused a
/// connection does not show that it holds no flow.
#[test]
fn late_syn_does_not_deny_a_flow_of_a_target_without_a_listener() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_target_absent();
    agent.on_status_report(status_report("i-1", 1, 5), now);
    pass_late_syn(&mut agent, now);
    let answer = lookup(&mut agent, 1, LATER_ACK, now);
    assert_eq!(answer, LookupAnswer::MayBeHeld);
    assert_eq!(forward(&mut agent, 1, LATER_ACK, now), "target");
}

/// Guards against the reset of a flow that another target holds: this one accepted a late copy of its SYN, and
/// returns the packets of the caller. A returned packet shows the end of a flow only if its caller follows the target.
#[test]
fn packet_returned_after_a_late_syn_does_not_end_the_flow() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    pass_late_syn(&mut agent, now);
    assert_eq!(forward(&mut agent, 1, ACK_OF_OTHER_TARGET, now), "target");
    let actions = bounce(&mut agent, request(flow(1), ACK_OF_OTHER_TARGET), now);
    assert!(is_returned_to_balancer(&actions));
}

/// Guards against the same fault if the SYN-ACK comes between the packet and its return.
#[test]
fn packet_returned_just_after_a_syn_ack_does_not_end_the_flow() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    assert_eq!(forward(&mut agent, 1, ACK_OF_OTHER_TARGET, now), "target");
    pass_late_syn(&mut agent, now);
    let actions = bounce(&mut agent, request(flow(1), ACK_OF_OTHER_TARGET), now);
    assert!(is_returned_to_balancer(&actions));
}

/// Guards against the same fault if an earlier process of the agent passed both the SYN and the packet.
#[test]
fn packet_returned_to_the_next_process_does_not_end_the_flow() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    accept(&mut agent, 1, FIRST_SEQ, now);
    let actions = bounce(&mut agent, request(flow(1), ACK_OF_OTHER_TARGET), now);
    assert_eq!(reset_count(&actions), 0);
}

/// Guards against callers that wait: a flow that was opened after the restart ends with its target as before.
#[test]
fn returned_packet_ends_a_flow_that_its_caller_has_with_the_target() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    pass_late_syn(&mut agent, now);
    assert_eq!(forward(&mut agent, 1, FIRST_SEQ + 1, now), "target");
    let actions = bounce(&mut agent, request(flow(1), FIRST_SEQ + 1), now);
    assert_eq!(reset_count(&actions), 1);
}

/// Guards against the reset of a flow that another target holds: this one accepted a late copy of its SYN and then
/// restarted.
#[test]
fn flow_of_another_target_is_not_ended_with_a_process_that_accepted_a_late_syn() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    pass_late_syn(&mut agent, now);
    assert_eq!(forward(&mut agent, 1, ACK_OF_OTHER_TARGET, now), "target");
    accept(&mut agent, 1, FIRST_SEQ, now);
    forward(&mut agent, 1, ACK_OF_OTHER_TARGET, now);
    accept(&mut agent, 1, FIRST_SEQ, now);
    let mut later = now;
    for sequence in 1..=3 {
        later += Duration::from_millis(2500);
        agent.on_status_report(status_report("i-1", 20_000, sequence), later);
    }
    assert_ne!(
        lookup(&mut agent, 1, ACK_OF_OTHER_TARGET, later),
        LookupAnswer::Held
    );
    assert_ne!(forward(&mut agent, 1, ACK_OF_OTHER_TARGET, later), "reset");
}

/// Guards against a flow that is opened after the restart of an agent and found only by detours.
#[test]
fn flow_that_is_opened_after_a_restart_is_held() {
    let now = Instant::now();
    let mut agent = agent_of_older_target(now);
    pass_late_syn(&mut agent, now);
    for ack_number in [FIRST_SEQ, FIRST_SEQ + 1] {
        assert_eq!(lookup(&mut agent, 1, ack_number, now), LookupAnswer::Held);
    }
    assert_eq!(forward(&mut agent, 1, FIRST_SEQ + 1, now), "target");
}

/// Guards against a reset whose log lines don't show why the agent denied the flow.
#[test]
fn denial_of_a_flow_records_the_compared_numbers() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    let actions = agent.on_lookup(balancer_address(2), flow(1), 900_000, now);
    let event = FlowEvent::NotHeld {
        flow: flow(1),
        ack_number: 900_000,
        first_seq: 5000,
        next_seq: 5000,
        view: FlowView::Whole,
    };
    assert_eq!(events(&actions), [&event]);
}
