//! What an agent lets through to its target.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, AgentIdentity, Endpoint, EndpointOptions, FlowEvent, LookupAnswer, Message,
    PacketFlags, PacketHeader, RefusalCause, StatusReport,
};
use cranberrypitch_core::{Incarnation, TargetState};

use crate::support::{
    acceptance, agent_address, balancer_address, domain, events, flow, from_target, opening,
    packet, params, request, resets, sent, service, status,
};

pub(crate) fn endpoint(now: Instant) -> Endpoint {
    endpoint_started(0, now)
}

/// Returns the endpoint of an agent that starts 10 s after `status("i-1", 1, ..)`.
fn restarted_endpoint(now: Instant) -> Endpoint {
    endpoint_started(10_000, now)
}

fn endpoint_started(started_unix_ms: u64, now: Instant) -> Endpoint {
    let identity = AgentIdentity {
        address: agent_address(1),
        service: service("matcher"),
        failure_domain: domain("a"),
        incarnation: Incarnation::new(1),
        started_unix_ms,
        seed_balancers: Box::new([balancer_address(8), balancer_address(9)]),
    };
    Endpoint::new(EndpointOptions::default(), identity, now)
}

pub(crate) fn with_target(now: Instant) -> Endpoint {
    let mut endpoint = endpoint(now);
    endpoint.on_status_report(status("i-1", 1, 1), now);
    endpoint
}

pub(crate) fn open(endpoint: &mut Endpoint, port: u16, now: Instant) -> Option<RefusalCause> {
    open_expecting(endpoint, port, None, now)
}

pub(crate) fn open_expecting(
    endpoint: &mut Endpoint,
    port: u16,
    expected: Option<u16>,
    now: Instant,
) -> Option<RefusalCause> {
    let head = opening(flow(port), 0);
    let bytes = packet(&head);
    let params = params(0, expected);
    let actions = endpoint.on_open(balancer_address(1), params, &head, &bytes, now);
    let refused = sent(&actions)
        .iter()
        .find_map(|(_, message)| match message {
            Message::OpenRefused { cause, .. } => Some(*cause),
            _ => None,
        });
    let is_passed_on = actions.iter().any(|a| matches!(a, Action::SendToTarget(_)));
    assert_eq!(refused.is_none(), is_passed_on);
    refused
}

pub(crate) fn accept(endpoint: &mut Endpoint, port: u16, sequence: u32, now: Instant) {
    let head = acceptance(flow(port), sequence);
    endpoint.on_target_packet(&head, &packet(&head), now);
}

/// Passes a caller's packet on and returns what became of it.
pub(crate) fn forward(
    endpoint: &mut Endpoint,
    port: u16,
    ack_number: u32,
    now: Instant,
) -> &'static str {
    let head = request(flow(port), ack_number);
    let bytes = packet(&head);
    let actions = endpoint.on_forward(balancer_address(1), &head, &bytes, now);
    if resets(&actions) > 0 {
        return "reset";
    }
    let done: Vec<_> = actions
        .iter()
        .filter(|action| !matches!(action, Action::RecordEvent(_)))
        .collect();
    match &*done {
        [Action::SendToTarget(_)] => "target",
        [
            Action::Send {
                message: Message::PacketReturned { .. },
                ..
            },
        ] => "returned",
        other => panic!("{other:?}"),
    }
}

fn bounce(endpoint: &mut Endpoint, head: PacketHeader, now: Instant) -> Vec<Action<'static>> {
    let bounced = PacketHeader {
        flags: head.flags.with(PacketFlags::BOUNCED),
        ..head
    };
    let bytes = packet(&head);
    let actions = endpoint.on_target_packet(&bounced, &bytes, now);
    actions.into_iter().map(own).collect()
}

fn own(action: Action<'_>) -> Action<'static> {
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
        other => panic!("unexpected {other:?}"),
    }
}

fn locate(endpoint: &mut Endpoint, port: u16, ack_number: u32, now: Instant) -> LookupAnswer {
    let actions = endpoint.on_lookup(balancer_address(2), flow(port), ack_number, now);
    match sent(&actions)[..] {
        [(_, Message::LookupReply { answer, .. })] => *answer,
        ref other => panic!("{other:?}"),
    }
}

#[test]
fn accepted_flow_is_held() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    assert_eq!(open(&mut endpoint, 1, now), None);
    accept(&mut endpoint, 1, 5000, now);
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "target");
    assert_eq!(locate(&mut endpoint, 1, 5001, now), LookupAnswer::Held);
    assert_eq!(locate(&mut endpoint, 2, 5001, now), LookupAnswer::NotHeld);
}

/// Copies of an opening packet may be accepted by two targets; the caller follows one, and the other
/// must neither get its packets nor claim the flow.
#[test]
fn flow_that_follows_another_target_is_not_held() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    assert_eq!(forward(&mut endpoint, 1, 900_000, now), "returned");
    assert_eq!(
        locate(&mut endpoint, 1, 900_000, now),
        LookupAnswer::NotHeld
    );
}

/// A target that has not accepted a flow bounces its packets; a reset would break the flow at the
/// target that did (FLOW on cvt-balanceio-grown, trouble-1).
#[test]
fn flow_that_is_not_accepted_is_neither_held_nor_reset() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "returned");
    assert_eq!(locate(&mut endpoint, 1, 5001, now), LookupAnswer::NotHeld);
}

#[test]
fn bounced_opening_is_refused_as_full() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    let actions = bounce(&mut endpoint, opening(flow(1), 0), now);
    let messages = sent(&actions);
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
    assert_eq!(endpoint.flow_count(), 0);
}

/// The target has forgotten a flow that it had accepted, so its caller may open another at once.
#[test]
fn bounce_of_an_accepted_flow_resets_it() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "target");
    assert_eq!(
        resets(&bounce(&mut endpoint, request(flow(1), 5001), now)),
        1
    );
}

/// Recovery: targets start some 20 to 50 ms before their agents when power returns, and their first
/// report that arrives is the second or third. Agents took such targets for older ones, and packets of
/// all ended flows went to 23 of 57 targets, which returned them.
#[test]
fn target_that_started_with_its_agent_holds_no_unknown_flow() {
    let now = Instant::now();
    let mut endpoint = restarted_endpoint(now);
    endpoint.on_status_report(status("i-1", 9_952, 3), now);
    assert_eq!(locate(&mut endpoint, 1, 5001, now), LookupAnswer::NotHeld);
}

/// An agent that is killed soon after its target started gets an early report as its first one, and the
/// target holds flows from before.
#[test]
fn target_that_is_older_by_a_second_may_hold_unknown_flows() {
    let now = Instant::now();
    let mut endpoint = restarted_endpoint(now);
    endpoint.on_status_report(status("i-1", 9_000, 2), now);
    assert_eq!(locate(&mut endpoint, 1, 5001, now), LookupAnswer::MayBeHeld);
}

/// An agent that started beside a living target passes unknown packets to it: the target knows.
#[test]
fn restarted_agent_lets_its_target_decide() {
    let now = Instant::now();
    let mut endpoint = restarted_endpoint(now);
    endpoint.on_status_report(status("i-1", 1, 40), now);
    assert_eq!(locate(&mut endpoint, 1, 5001, now), LookupAnswer::MayBeHeld);
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "target");
    let actions = bounce(&mut endpoint, request(flow(1), 5001), now);
    assert_eq!(resets(&actions), 0);
    assert!(matches!(
        sent(&actions)[..],
        [(_, Message::PacketReturned { .. })]
    ));

    let answer = from_target(flow(2), PacketFlags::ACK, 9000, 500);
    endpoint.on_target_packet(&answer, &packet(&answer), now);
    assert_eq!(locate(&mut endpoint, 2, 9500, now), LookupAnswer::Held);
}

/// A target that returns nothing holds the flow, even when it has nothing to send. If it returns a
/// packet after all, that is no end of the flow.
#[test]
fn flow_that_is_not_returned_is_presumed_held() {
    let now = Instant::now();
    let mut endpoint = restarted_endpoint(now);
    endpoint.on_status_report(status("i-1", 1, 40), now);
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "target");
    let later = now + Duration::from_millis(100);
    let actions = endpoint.on_tick(later);
    let accepted = Message::OpenAccepted { flow: flow(1) };
    assert!(sent(&actions).contains(&(balancer_address(1), &accepted)));
    assert_eq!(locate(&mut endpoint, 1, 5001, later), LookupAnswer::Held);
    assert_eq!(
        resets(&bounce(&mut endpoint, request(flow(1), 5001), later)),
        0
    );
}

/// No flow outlives its longest life, so an agent is sure of all flows after that time.
#[test]
fn restarted_agent_is_sure_after_the_life_of_a_flow() {
    let now = Instant::now();
    let mut endpoint = restarted_endpoint(now);
    endpoint.on_status_report(status("i-1", 1, 40), now);
    let later = now + Duration::from_mins(1);
    assert_eq!(locate(&mut endpoint, 1, 5001, later), LookupAnswer::NotHeld);
}

/// A target that starts again under its id holds nothing of before.
#[test]
fn flows_of_an_earlier_run_are_reset() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "target");
    // A later report of the same run shows which run accepted the flow.
    let later = now + Duration::from_secs(3);
    endpoint.on_status_report(status("i-1", 1, 9), later);
    endpoint.on_status_report(status("i-1", 2, 1), later);
    assert_eq!(forward(&mut endpoint, 1, 5001, later), "reset");
    assert_eq!(forward(&mut endpoint, 2, 5001, later), "returned");
}

/// A target that starts again takes flows before its first report reaches the agent. They are flows
/// of the new run, and a reset would break them (found by the soak).
#[test]
fn flow_opened_before_the_first_report_of_its_run_lives_on() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    let restarted_at = now + Duration::from_millis(100);
    open(&mut endpoint, 1, restarted_at);
    accept(&mut endpoint, 1, 5000, restarted_at);
    assert_eq!(forward(&mut endpoint, 1, 5001, restarted_at), "target");
    open(&mut endpoint, 2, restarted_at);
    let reported_at = now + Duration::from_millis(200);
    endpoint.on_status_report(status("i-1", 2, 1), reported_at);
    assert_eq!(forward(&mut endpoint, 1, 5001, reported_at), "target");
    accept(&mut endpoint, 2, 7000, reported_at);
    assert_eq!(forward(&mut endpoint, 2, 7001, reported_at), "target");

    // If it was a flow of the earlier run after all, the target returns its packet.
    let actions = bounce(&mut endpoint, request(flow(1), 5001), reported_at);
    assert_eq!(resets(&actions), 1);
}

/// A report of an earlier run that was delayed must not replace the later run.
#[test]
fn late_report_of_an_earlier_run_is_ignored() {
    let now = Instant::now();
    let mut endpoint = endpoint(now);
    endpoint.on_status_report(status("i-2", 20, 1), now);
    let late = StatusReport {
        service: service("tracer"),
        ..status("i-1", 10, 99)
    };
    endpoint.on_status_report(late, now);
    assert_eq!(open(&mut endpoint, 1, now), None);
}

#[test]
fn report_with_an_old_sequence_is_ignored() {
    let now = Instant::now();
    let mut endpoint = endpoint(now);
    endpoint.on_status_report(status("i-1", 1, 5), now);
    let draining = StatusReport {
        state: TargetState::Draining,
        ..status("i-1", 1, 4)
    };
    endpoint.on_status_report(draining, now);
    assert_eq!(open(&mut endpoint, 1, now), None);
}

/// The agent enforces a drain by itself, whatever balancers still believe.
#[test]
fn draining_target_keeps_its_flows_and_gets_no_new_ones() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    let draining = StatusReport {
        state: TargetState::Draining,
        ..status("i-1", 1, 2)
    };
    let actions = endpoint.on_status_report(draining, now);
    assert!(matches!(sent(&actions)[..], [(_, Message::Report { .. })]));
    assert_eq!(open(&mut endpoint, 2, now), Some(RefusalCause::Draining));
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "target");
}

/// The address of a target that fell silent may serve another service soon (ROUTE).
#[test]
fn silent_target_gets_no_new_flow() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    let later = now + EndpointOptions::default().status_timeout;
    assert_eq!(
        open(&mut endpoint, 1, later),
        Some(RefusalCause::TargetSilent)
    );
}

/// A deployment whose targets report rarely must not take them for silent between two reports.
#[test]
fn silence_is_longer_than_the_time_between_reports() {
    let options = EndpointOptions::default();
    let limit = |reuse_ms, interval_ms| {
        let reuse = Duration::from_millis(reuse_ms);
        let options = options.with_status_timeouts(reuse, Duration::from_millis(interval_ms));
        options.status_timeout.as_millis()
    };
    assert_eq!(limit(2000, 770), 1800);
    assert_eq!(limit(2000, 1200), 1800);
    assert_eq!(limit(2000, 2500), 3750);
}

/// After a loss of power agents start with their targets; the settings name the service until the
/// first report, but not for longer than an address stays unused.
#[test]
fn settings_stand_in_for_the_first_report() {
    let now = Instant::now();
    let mut endpoint = endpoint(now);
    assert_eq!(open(&mut endpoint, 1, now), None);
    let later = now + EndpointOptions::default().first_status_timeout;
    assert_eq!(
        open(&mut endpoint, 2, later),
        Some(RefusalCause::TargetSilent)
    );
}

/// An address that came back under another service takes no flow of the service of before.
#[test]
fn flow_for_another_service_is_refused() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    let other = StatusReport {
        service: service("tracer"),
        ..status("i-2", 2, 1)
    };
    endpoint.on_status_report(other, now);
    assert_eq!(
        open(&mut endpoint, 1, now),
        Some(RefusalCause::OtherService)
    );
}

/// A target that said it is gone exits soon; its callers are told instead of kept waiting.
#[test]
fn flows_of_a_gone_target_are_reset_after_its_exit() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    endpoint.on_target_exit("i-1", now);
    assert_eq!(forward(&mut endpoint, 1, 5001, now), "target");
    let later = now + EndpointOptions::default().exit_delay;
    assert_eq!(forward(&mut endpoint, 1, 5001, later), "reset");
}

/// Of two targets that accepted copies of an opening packet the caller follows one; when the other
/// starts anew, the flow lives on (found by `open_flows_survive_changes`).
#[test]
fn flow_that_follows_another_target_survives_a_restart() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    endpoint.on_status_report(status("i-1", 2, 1), now);
    assert_eq!(
        locate(&mut endpoint, 1, 900_000, now),
        LookupAnswer::NotHeld
    );
    assert_eq!(forward(&mut endpoint, 1, 900_000, now), "returned");
}

/// While the store is down, a new agent is found by way of seed balancers and the agents that they
/// know, or its target would stay idle while others are released.
#[test]
fn unregistered_agent_introduces_itself() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    let later = now + Duration::from_secs(1);
    let actions = endpoint.on_tick(later);
    let receivers: Vec<_> = sent(&actions).iter().map(|(peer, _)| *peer).collect();
    assert_eq!(receivers, [balancer_address(8), balancer_address(9)]);

    let actions = endpoint.on_agent_list(&[agent_address(2)]);
    assert!(matches!(sent(&actions)[..], [(a, Message::BalancerQuery)] if a == agent_address(2)));
    let actions = endpoint.on_balancer_list(&[balancer_address(3)], later);
    let messages = sent(&actions);
    assert!(matches!(messages[..], [(b, Message::Report { .. })] if b == balancer_address(3)));

    endpoint.set_registered(true);
    let actions = endpoint.on_tick(later + Duration::from_secs(1));
    let receivers: Vec<_> = sent(&actions).iter().map(|(peer, _)| *peer).collect();
    assert_eq!(receivers, [balancer_address(3)]);
}

/// The log leads from a request's first packet to its target, once and not for each packet.
#[test]
fn each_request_is_recorded_once() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    open(&mut endpoint, 1, now);
    accept(&mut endpoint, 1, 5000, now);
    let head = request(flow(1), 5001);
    let bytes = packet(&head);
    let mut passed = 0;
    for _ in 0..3 {
        let actions = endpoint.on_forward(balancer_address(1), &head, &bytes, now);
        let is_passed = |e: &&&FlowEvent| matches!(e, FlowEvent::RequestPassed { .. });
        passed += events(&actions).iter().filter(is_passed).count();
    }
    assert_eq!(passed, 1);
    let later = now + Duration::from_millis(40);
    let answer = from_target(flow(1), PacketFlags::ACK, 5001, 500);
    let bytes = packet(&answer);
    let actions = endpoint.on_target_packet(&answer, &bytes, later);
    let answered = FlowEvent::RequestAnswered {
        flow: flow(1),
        elapsed: Duration::from_millis(40),
    };
    assert_eq!(events(&actions), [&answered]);
}

/// Balancers that opened flows here learn the load several times a second, others that only pass
/// packets on once a second, and those that are gone not at all.
#[test]
fn reports_go_to_balancers_in_use() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    endpoint.set_registered(true);
    open(&mut endpoint, 1, now);
    locate(&mut endpoint, 9, 1, now);
    let mut reports = [0; 3];
    for tenths in 1..=10 {
        let actions = endpoint.on_tick(now + Duration::from_millis(tenths * 100));
        for (peer, _) in sent(&actions) {
            reports[usize::from(peer.ip().octets()[3])] += 1;
        }
    }
    assert_eq!(reports, [0, 5, 1]);
    let later = now + Duration::from_secs(11);
    assert!(sent(&endpoint.on_tick(later)).is_empty());
}

/// Returns the part of failed answers in the report to a balancer that opens flows here.
fn reported_failures(endpoint: &mut Endpoint, now: Instant) -> u8 {
    endpoint.on_lookup(balancer_address(1), flow(99), 1, now);
    let actions = endpoint.on_tick(now + Duration::from_secs(1));
    let failed = sent(&actions)
        .iter()
        .find_map(|(_, message)| match message {
            Message::Report { load, .. } => Some(load.failed_responses_percent),
            _ => None,
        });
    failed.expect("a report is due")
}

/// A target whose health check is good and whose answers fail would get flows for as long as it fails.
/// One that is busy refuses by other means, and a caller's mistake is not the target's.
#[test]
fn failed_answers_are_reported() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    for _ in 0..10 {
        endpoint.on_response(200, now);
        endpoint.on_response(404, now);
        endpoint.on_response(503, now);
    }
    assert_eq!(reported_failures(&mut endpoint, now), 0);
    let later = now + Duration::from_secs(3);
    for _ in 0..120 {
        endpoint.on_response(500, later);
    }
    let failed = reported_failures(&mut endpoint, later);
    assert!(failed >= 80, "{failed}");
}

/// A target that starts again and again cuts its flows each time (`srv_flap`), so a new start counts as
/// failures for a while.
#[test]
fn restarted_target_is_reported_as_failing() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    endpoint.on_status_report(status("i-1", 2, 1), now);
    assert!(reported_failures(&mut endpoint, now) > 50);
    let later = now + Duration::from_secs(20);
    endpoint.on_status_report(status("i-1", 2, 2), later);
    assert!(reported_failures(&mut endpoint, later) < 10);
}

/// A target that no longer reports refuses all flows and looks idle; balancers that ask it first lose
/// the time of a refusal for each flow (incident inc-b83e).
#[test]
fn silent_target_is_reported_as_failing() {
    let now = Instant::now();
    let mut endpoint = with_target(now);
    let silent_at = now + Duration::from_secs(5);
    assert_eq!(reported_failures(&mut endpoint, silent_at), 100);
}

/// A late copy of an opening packet opens a flow here whose caller follows another target, and a packet
/// of that caller reached this target before its acceptance was seen. The target returns the packet,
/// which is no end of the flow (found by the soak, seed 26).
#[test]
fn returned_packet_for_another_target_is_no_end() {
    let now = Instant::now();
    let mut endpoint = restarted_endpoint(now);
    endpoint.on_status_report(status("i-1", 1, 40), now);
    open(&mut endpoint, 1, now);
    assert_eq!(forward(&mut endpoint, 1, 900_000, now), "target");
    accept(&mut endpoint, 1, 5000, now);
    let actions = bounce(&mut endpoint, request(flow(1), 900_000), now);
    assert_eq!(resets(&actions), 0);
    assert!(matches!(
        sent(&actions)[..],
        [(_, Message::PacketReturned { .. })]
    ));
}
