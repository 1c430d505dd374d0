//! Admission of packets to a target, and reports of its agent to balancers.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, AgentIdentity, FlowAgent, FlowAgentOptions, FlowEvent, LookupAnswer, Message,
    OpenParams, PacketFlags, PacketHeader, RefusalCause, StatusReport,
};
use cranberrypitch_core::{Incarnation, ServiceTag, TargetState};

use crate::support::{
    agent_address, balancer_address, domain, encode, events, flow, from_caller, from_target,
    params, request, reset_count, sent_messages, service, status_report, syn, syn_ack,
};

pub(crate) fn agent(now: Instant) -> FlowAgent {
    agent_started_at(0, now)
}

/// Returns an agent that starts 10 s after `status_report("i-1", 1, ..)`.
pub(crate) fn restarted_agent(now: Instant) -> FlowAgent {
    agent_started_at(10_000, now)
}

fn agent_started_at(started_unix_ms: u64, now: Instant) -> FlowAgent {
    let identity = AgentIdentity {
        address: agent_address(1),
        service: service("matcher"),
        failure_domain: domain("a"),
        incarnation: Incarnation::new(1),
        started_unix_ms,
        seed_balancers: Box::new([balancer_address(8), balancer_address(9)]),
    };
    FlowAgent::new(FlowAgentOptions::default(), identity, now)
}

pub(crate) fn with_target(now: Instant) -> FlowAgent {
    let mut agent = agent(now);
    agent.on_status_report(status_report("i-1", 1, 1), now);
    agent
}

pub(crate) fn open(agent: &mut FlowAgent, port: u16, now: Instant) -> Option<RefusalCause> {
    open_expecting(agent, port, None, now)
}

pub(crate) fn open_expecting(
    agent: &mut FlowAgent,
    port: u16,
    expected: Option<u16>,
    now: Instant,
) -> Option<RefusalCause> {
    open_with(agent, port, params(0, expected), now)
}

/// Opens a flow for a service.
pub(crate) fn open_for(
    agent: &mut FlowAgent,
    port: u16,
    service: ServiceTag,
    now: Instant,
) -> Option<RefusalCause> {
    let params = OpenParams {
        service,
        ..params(0, None)
    };
    open_with(agent, port, params, now)
}

fn open_with(
    agent: &mut FlowAgent,
    port: u16,
    params: OpenParams,
    now: Instant,
) -> Option<RefusalCause> {
    let header = syn(flow(port), 0);
    let packet = encode(&header);
    let actions = agent.on_open(balancer_address(1), params, &header, &packet, now);
    let refused = sent_messages(&actions)
        .iter()
        .find_map(|(_, message)| match message {
            Message::OpenRefused { cause, .. } => Some(*cause),
            _ => None,
        });
    let is_passed_to_target = actions.iter().any(|a| matches!(a, Action::SendToTarget(_)));
    assert_eq!(refused.is_none(), is_passed_to_target);
    refused
}

pub(crate) fn accept(agent: &mut FlowAgent, port: u16, seq_number: u32, now: Instant) {
    let header = syn_ack(flow(port), seq_number);
    agent.on_target_packet(&header, &encode(&header), now);
}

/// Forwards a caller's packet to the agent and returns the outcome: "target", "returned" or "reset".
pub(crate) fn forward(
    agent: &mut FlowAgent,
    port: u16,
    ack_number: u32,
    now: Instant,
) -> &'static str {
    let header = request(flow(port), ack_number);
    let packet = encode(&header);
    let actions = agent.on_forward(balancer_address(1), &header, &packet, now);
    if reset_count(&actions) > 0 {
        return "reset";
    }
    let unrecorded: Vec<_> = actions
        .iter()
        .filter(|action| !matches!(action, Action::RecordEvent(_)))
        .collect();
    match &*unrecorded {
        [Action::SendToTarget(_)] => "target",
        [
            Action::Send {
                message: Message::PacketReturned { .. },
                ..
            },
        ] => "returned",
        other => panic!("unexpected message: {other:?}"),
    }
}

pub(crate) fn bounce(
    agent: &mut FlowAgent,
    header: PacketHeader,
    now: Instant,
) -> Vec<Action<'static>> {
    let bounced = PacketHeader {
        flags: header.flags.with(PacketFlags::BOUNCED),
        ..header
    };
    let packet = encode(&header);
    let actions = agent.on_target_packet(&bounced, &packet, now);
    actions.into_iter().map(owned_action).collect()
}

fn owned_action(action: Action<'_>) -> Action<'static> {
    match action {
        Action::Send {
            peer,
            message: Message::PacketReturned { packet },
        } => Action::Send {
            peer,
            message: Message::PacketReturned {
                packet: packet.into_owned().into(),
            },
        },
        Action::Send {
            peer,
            message: Message::OpenRefused { flow, cause },
        } => Action::Send {
            peer,
            message: Message::OpenRefused { flow, cause },
        },
        Action::Reset(reset) => Action::Reset(reset),
        Action::RecordEvent(event) => Action::RecordEvent(event),
        other => panic!("unexpected action: {other:?}"),
    }
}

pub(crate) fn lookup(
    agent: &mut FlowAgent,
    port: u16,
    ack_number: u32,
    now: Instant,
) -> LookupAnswer {
    let actions = agent.on_lookup(balancer_address(2), flow(port), ack_number, now);
    match sent_messages(&actions)[..] {
        [(_, Message::LookupReply { answer, .. })] => *answer,
        ref other => panic!("unexpected message: {other:?}"),
    }
}

#[test]
fn accepted_flow_is_held() {
    let now = Instant::now();
    let mut agent = with_target(now);
    assert_eq!(open(&mut agent, 1, now), None);
    accept(&mut agent, 1, 5000, now);
    assert_eq!(forward(&mut agent, 1, 5001, now), "target");
    assert_eq!(lookup(&mut agent, 1, 5001, now), LookupAnswer::Held);
    assert_eq!(lookup(&mut agent, 2, 5001, now), LookupAnswer::NotHeld);
}

/// Two targets may accept transmissions of a SYN. The caller uses one of them, and the agent of the other
/// must neither pass on its packets nor claim the flow.
#[test]
fn flow_that_follows_another_target_is_not_held() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    assert_eq!(forward(&mut agent, 1, 900_000, now), "returned");
    assert_eq!(lookup(&mut agent, 1, 900_000, now), LookupAnswer::NotHeld);
}

/// A target that has not accepted a flow bounces its packets. A reset in reply would break the flow at the
/// target that has accepted it.
#[test]
fn flow_that_is_not_accepted_is_neither_held_nor_reset() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    assert_eq!(forward(&mut agent, 1, 5001, now), "returned");
    assert_eq!(lookup(&mut agent, 1, 5001, now), LookupAnswer::NotHeld);
}

#[test]
fn bounced_syn_is_refused_as_full() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    let actions = bounce(&mut agent, syn(flow(1), 0), now);
    let messages = sent_messages(&actions);
    let is_full = |m: &Message<'_>| {
        matches!(
            m,
            Message::OpenRefused {
                cause: RefusalCause::TargetFull,
                ..
            }
        )
    };
    assert!(
        matches!(messages[..], [(_, m)] if is_full(m)),
        "{messages:?}"
    );
    assert_eq!(agent.flow_count(), 0);
}

/// A target that bounces a flow which it had accepted no longer holds it, so the flow is reset and its
/// caller can open another one immediately.
#[test]
fn bounce_of_an_accepted_flow_resets_it() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    assert_eq!(forward(&mut agent, 1, 5001, now), "target");
    assert_eq!(
        reset_count(&bounce(&mut agent, request(flow(1), 5001), now)),
        1
    );
}

/// After a power failure targets start 20 to 50 ms before their agents, and the first report that arrives
/// is the second or third. Such targets were treated as possible holders of earlier flows, and packets of
/// all lost flows were forwarded to 23 of 57 targets, which returned them.
#[test]
fn target_that_started_with_its_agent_holds_no_unknown_flow() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_status_report(status_report("i-1", 9_952, 3), now);
    assert_eq!(lookup(&mut agent, 1, 5001, now), LookupAnswer::NotHeld);
}

/// An agent that restarts soon after its target started may get a report with a low sequence number first,
/// although the target holds flows from before.
#[test]
fn target_that_is_older_by_a_second_may_hold_unknown_flows() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_status_report(status_report("i-1", 9_000, 2), now);
    assert_eq!(lookup(&mut agent, 1, 5001, now), LookupAnswer::MayBeHeld);
}

/// An agent that restarted while its target was running passes packets of unknown flows to the target,
/// which returns those of flows that it does not hold.
#[test]
fn restarted_agent_passes_unknown_flows_to_its_target() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_status_report(status_report("i-1", 1, 40), now);
    assert_eq!(lookup(&mut agent, 1, 5001, now), LookupAnswer::MayBeHeld);
    assert_eq!(forward(&mut agent, 1, 5001, now), "target");
    let actions = bounce(&mut agent, request(flow(1), 5001), now);
    assert_eq!(reset_count(&actions), 0);
    assert!(matches!(
        sent_messages(&actions)[..],
        [(_, Message::PacketReturned { .. })]
    ));

    let response = from_target(flow(2), PacketFlags::ACK, 9000, 500);
    agent.on_target_packet(&response, &encode(&response), now);
    assert_eq!(lookup(&mut agent, 2, 9500, now), LookupAnswer::Held);
}

/// A target that returns no packet is presumed to hold the flow, even if it sends nothing. If it returns a
/// packet later, the flow must not be reset.
#[test]
fn flow_that_is_not_returned_is_presumed_held() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_status_report(status_report("i-1", 1, 40), now);
    assert_eq!(forward(&mut agent, 1, 5001, now), "target");
    let later = now + Duration::from_millis(100);
    let actions = agent.on_tick(later);
    let accepted = Message::OpenAccepted { flow: flow(1) };
    assert!(sent_messages(&actions).contains(&(balancer_address(1), &accepted)));
    assert_eq!(lookup(&mut agent, 1, 5001, later), LookupAnswer::Held);
    assert_eq!(
        reset_count(&bounce(&mut agent, request(flow(1), 5001), later)),
        0
    );
}

/// After the maximum lifetime of a flow, a restarted agent has seen all flows that its target holds.
#[test]
fn restarted_agent_has_all_flows_after_the_flow_lifetime() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_status_report(status_report("i-1", 1, 40), now);
    let later = now + Duration::from_mins(1);
    assert_eq!(lookup(&mut agent, 1, 5001, later), LookupAnswer::NotHeld);
}

/// A target that restarts with the same id does not hold its earlier flows.
#[test]
fn flows_of_an_earlier_process_are_reset() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    assert_eq!(forward(&mut agent, 1, 5001, now), "target");
    // A later report of the same process shows which process accepted the flow.
    let later = now + Duration::from_secs(3);
    agent.on_status_report(status_report("i-1", 1, 9), later);
    // One report may be of another writer. Until the second one, the target itself shows by a return that
    // it does not hold a flow.
    agent.on_status_report(status_report("i-1", 2, 1), later);
    assert_eq!(forward(&mut agent, 1, 5001, later), "target");
    let confirmed_at = later + Duration::from_millis(1200);
    agent.on_status_report(status_report("i-1", 2, 2), confirmed_at);
    assert_eq!(forward(&mut agent, 1, 5001, confirmed_at), "reset");
    assert_eq!(forward(&mut agent, 2, 5001, confirmed_at), "returned");
}

/// A restarted target accepts flows before its first report reaches the agent. They belong to the new
/// process, and a reset would break them. Found by the soak test.
#[test]
fn flow_opened_before_the_first_report_of_its_process_stays_open() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let restarted_at = now + Duration::from_millis(100);
    open(&mut agent, 1, restarted_at);
    accept(&mut agent, 1, 5000, restarted_at);
    assert_eq!(forward(&mut agent, 1, 5001, restarted_at), "target");
    open(&mut agent, 2, restarted_at);
    let reported_at = now + Duration::from_millis(200);
    agent.on_status_report(status_report("i-1", 2, 1), reported_at);
    assert_eq!(forward(&mut agent, 1, 5001, reported_at), "target");
    accept(&mut agent, 2, 7000, reported_at);
    assert_eq!(forward(&mut agent, 2, 7001, reported_at), "target");

    // If the flow belongs to the earlier process after all, the target returns its packets.
    let actions = bounce(&mut agent, request(flow(1), 5001), reported_at);
    assert_eq!(reset_count(&actions), 1);
}

/// A delayed report of an earlier process must not replace the later process.
#[test]
fn late_report_of_an_earlier_process_is_ignored() {
    let now = Instant::now();
    let mut agent = agent(now);
    agent.on_status_report(status_report("i-2", 20, 1), now);
    let late = StatusReport {
        service: service("tracer"),
        ..status_report("i-1", 10, 99)
    };
    agent.on_status_report(late, now);
    assert_eq!(open(&mut agent, 1, now), None);
}

#[test]
fn report_with_an_old_sequence_is_ignored() {
    let now = Instant::now();
    let mut agent = agent(now);
    agent.on_status_report(status_report("i-1", 1, 5), now);
    let draining = StatusReport {
        state: TargetState::Draining,
        ..status_report("i-1", 1, 4)
    };
    agent.on_status_report(draining, now);
    assert_eq!(open(&mut agent, 1, now), None);
}

/// The agent enforces a drain itself, even if balancers have not received the new state.
#[test]
fn draining_target_keeps_its_flows_and_gets_no_new_ones() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    let draining = StatusReport {
        state: TargetState::Draining,
        ..status_report("i-1", 1, 2)
    };
    let actions = agent.on_status_report(draining, now);
    assert!(matches!(
        sent_messages(&actions)[..],
        [(_, Message::Report { .. })]
    ));
    assert_eq!(open(&mut agent, 2, now), Some(RefusalCause::Draining));
    assert_eq!(forward(&mut agent, 1, 5001, now), "target");
}

/// The address of a target whose status reports stop may soon belong to another service.
#[test]
fn silent_target_gets_no_new_flow() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let later = now + FlowAgentOptions::default().status_timeout;
    assert_eq!(open(&mut agent, 1, later), Some(RefusalCause::TargetSilent));
}

/// If targets report rarely, the status timeout must not pass between two reports.
#[test]
fn status_timeout_is_longer_than_the_report_interval() {
    let options = FlowAgentOptions::default();
    let limit = |reuse_ms, interval_ms| {
        let reuse = Duration::from_millis(reuse_ms);
        let options = options.with_status_timeouts(reuse, Duration::from_millis(interval_ms));
        options.status_timeout.as_millis()
    };
    assert_eq!(limit(2000, 770), 1800);
    assert_eq!(limit(2000, 1200), 1800);
    assert_eq!(limit(2000, 2500), 3750);
}

/// After a power failure agents start together with their targets. Until the first report the agent uses
/// the service in its settings, but not for longer than an address stays unused.
#[test]
fn settings_stand_in_for_the_first_report() {
    let now = Instant::now();
    let mut agent = agent(now);
    assert_eq!(open(&mut agent, 1, now), None);
    let later = now + FlowAgentOptions::default().first_status_timeout;
    assert_eq!(open(&mut agent, 2, later), Some(RefusalCause::TargetSilent));
}

/// A target at an address that was reused by another service must get no flows of the earlier service.
#[test]
fn flow_for_another_service_is_refused() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let other = StatusReport {
        service: service("tracer"),
        ..status_report("i-2", 2, 1)
    };
    agent.on_status_report(other, now);
    assert_eq!(open(&mut agent, 1, now), Some(RefusalCause::OtherService));
}

/// A target that announced its exit soon stops, and its flows are reset so that their callers need not
/// wait for a timeout.
#[test]
fn flows_are_reset_after_the_exit_of_their_target() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    agent.on_target_exit("i-1", now);
    assert_eq!(forward(&mut agent, 1, 5001, now), "target");
    let later = now + FlowAgentOptions::default().exit_delay;
    assert_eq!(forward(&mut agent, 1, 5001, later), "reset");
}

/// Two targets accepted transmissions of a SYN, and the caller uses one of them. A restart of the other
/// must not reset the flow. Found by `open_flows_survive_changes`.
#[test]
fn flow_that_follows_another_target_survives_a_restart() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    agent.on_status_report(status_report("i-1", 2, 1), now);
    assert_eq!(lookup(&mut agent, 1, 900_000, now), LookupAnswer::NotHeld);
    assert_eq!(forward(&mut agent, 1, 900_000, now), "returned");
}

/// The log contains one entry for the first packet of a request, not one for each packet.
#[test]
fn each_request_is_recorded_once() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    let header = request(flow(1), 5001);
    let packet = encode(&header);
    let mut passed = 0;
    for _ in 0..3 {
        let actions = agent.on_forward(balancer_address(1), &header, &packet, now);
        let is_passed = |e: &&&FlowEvent| matches!(e, FlowEvent::RequestPassed { .. });
        passed += events(&actions).iter().filter(is_passed).count();
    }
    assert_eq!(passed, 1);
    let later = now + Duration::from_millis(40);
    let response = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    let packet = encode(&response);
    let actions = agent.on_target_packet(&response, &packet, later);
    let answered = FlowEvent::RequestAnswered {
        flow: flow(1),
        elapsed: Duration::from_millis(40),
    };
    assert_eq!(events(&actions), [&answered]);
}

/// A late retransmission of a SYN opens a flow here whose caller uses another target, and a packet of that
/// caller reached this target before the SYN-ACK was seen. The target returns the packet, which must not
/// reset the flow. Found by the soak test, seed 26.
#[test]
fn returned_packet_for_another_target_is_no_end() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_status_report(status_report("i-1", 1, 40), now);
    open(&mut agent, 1, now);
    assert_eq!(forward(&mut agent, 1, 900_000, now), "target");
    accept(&mut agent, 1, 5000, now);
    let actions = bounce(&mut agent, request(flow(1), 900_000), now);
    assert_eq!(reset_count(&actions), 0);
    assert!(matches!(
        sent_messages(&actions)[..],
        [(_, Message::PacketReturned { .. })]
    ));
}

/// Guards against a balancer that tries other targets for an open flow, and resets it when they refuse: two
/// balancers got copies of a SYN, and the agent told only the second one that the target accepted.
#[test]
fn all_balancers_that_sent_a_copy_of_a_syn_learn_of_the_acceptance() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let header = syn(flow(1), 0);
    let packet = encode(&header);
    for balancer in [1, 2] {
        let balancer = balancer_address(balancer);
        agent.on_open(balancer, params(0, None), &header, &packet, now);
    }
    let header = syn_ack(flow(1), 5000);
    let packet = encode(&header);
    let actions = agent.on_target_packet(&header, &packet, now);
    let is_acceptance = |message: &Message<'_>| matches!(message, Message::OpenAccepted { .. });
    let mut informed: Vec<_> = sent_messages(&actions)
        .into_iter()
        .filter_map(|(balancer, message)| is_acceptance(message).then_some(balancer))
        .collect();
    informed.sort_unstable();
    assert_eq!(informed, [balancer_address(1), balancer_address(2)]);
}

/// A flow from a port that was used before inherited the closed flow: a SYN that its target returned was not
/// refused, so the caller waited for its timeout.
#[test]
fn flow_from_a_port_that_is_used_again_is_new() {
    let now = Instant::now();
    let mut agent = with_target(now);
    assert_eq!(open(&mut agent, 1, now), None);
    accept(&mut agent, 1, 5000, now);
    let fin = from_caller(flow(1), PacketFlags::FIN.with(PacketFlags::ACK), 5001, 0);
    agent.on_forward(balancer_address(1), &fin, &encode(&fin), now);
    let fin = from_target(flow(1), PacketFlags::FIN.with(PacketFlags::ACK), 5001, 0);
    agent.on_target_packet(&fin, &encode(&fin), now);
    let later = now + Duration::from_millis(1500);
    assert_eq!(open(&mut agent, 1, later), None);
    let actions = bounce(&mut agent, syn(flow(1), 0), later);
    assert!(matches!(
        sent_messages(&actions)[..],
        [(_, Message::OpenRefused { .. })]
    ));
}
