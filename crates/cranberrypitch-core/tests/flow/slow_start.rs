//! The limit on new flows of an agent while its target is slow after its start.

use std::time::{Duration, Instant};

use cranberrypitch_core::RequestRate;
use cranberrypitch_core::flow::{
    Action, AgentRecord, FlowAgent, FlowEvent, Message, OpenParams, PacketFlags, RefusalCause,
    RouteConfig, ServicePolicy, StatusReport,
};

use crate::agent::{accept, agent, forward, restarted_agent};
use crate::dispatcher::{dispatcher, local_records, open as start_opening};
use crate::support::{
    balancer_address, config, encode, events, flow, from_target, load, params, record,
    sent_messages, service, status_report, syn,
};

/// The rate that a cold target bears, per second.
const RATE: u32 = 20;

/// The bound of the page for any window of one second: 1.5 times the rate plus 5.
const BOUND: usize = 35;

const WARMUP: Duration = Duration::from_secs(3);

/// Returns a report of a target that started at `started_unix_ms` and is cold for `warmup_left`.
fn report(started_unix_ms: u64, sequence: u64, warmup_left: Duration) -> StatusReport {
    StatusReport {
        warmup_left,
        slots: cranberrypitch_core::Slots::new(1000),
        ..status_report("i-1", started_unix_ms, sequence)
    }
}

fn cold_agent(now: Instant) -> FlowAgent {
    let mut agent = agent(now);
    agent.on_status_report(report(1, 1, WARMUP), now);
    agent
}

/// Requests to open a flow through one of eight balancers and returns the actions.
fn open<'a>(
    agent: &mut FlowAgent,
    port: u16,
    expected_requests: Option<u16>,
    rate: Option<u32>,
    now: Instant,
) -> Vec<Action<'a>> {
    let header = syn(flow(port), 0);
    let params = OpenParams {
        warmup_rate: rate.map(RequestRate::new),
        ..params(0, expected_requests)
    };
    let balancer = balancer_address(u8::try_from(port % 8).unwrap());
    let packet = encode(&header);
    let actions = agent.on_open(balancer, params, &header, &packet, now);
    let owned = actions.into_iter().map(|action| match action {
        Action::SendToTarget(packet) => Action::SendToTarget(packet.into_owned().into()),
        Action::Send { peer, message } => Action::Send {
            peer,
            message: crate::support::owned_message(message),
        },
        Action::RecordEvent(event) => Action::RecordEvent(event),
        other => panic!("unexpected action: {other:?}"),
    });
    owned.collect()
}

/// Returns the number of SYNs that are passed to the target.
fn passed(actions: &[Action<'_>]) -> usize {
    let is_passed = |action: &&Action<'_>| matches!(action, Action::SendToTarget(_));
    actions.iter().filter(is_passed).count()
}

/// Opens `count` flows that may be declined from `first_port` on, and returns the number of passed SYNs.
fn rush(agent: &mut FlowAgent, first_port: u16, count: u16, now: Instant) -> usize {
    let ports = first_port..first_port + count;
    ports
        .map(|port| passed(&open(agent, port, Some(0), Some(RATE), now)))
        .sum()
}

/// Returns the largest number of events within one second.
fn busiest_second(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let is_within = |at: &&Instant| **at >= *from && **at - *from < Duration::from_secs(1);
        times.iter().filter(is_within).count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

/// Each balancer alone keeps below the rate of a cold target, but their sum does not: only the agent sees it.
/// Half of the balancers may be declined, and the SYNs of the others wait in the backlog.
#[test]
fn sum_of_many_balancers_stays_below_the_bound_in_every_window() {
    let start = Instant::now();
    let mut agent = cold_agent(start);
    let mut times = Vec::new();
    for step in 0..250_u16 {
        let now = start + Duration::from_millis(10) * u32::from(step);
        let mut count = passed(&agent.on_tick(now));
        for port in 4 * step + 1..=4 * step + 4 {
            let expected = (port % 2 == 0).then_some(0);
            count += passed(&open(&mut agent, port, expected, Some(RATE), now));
        }
        times.extend(std::iter::repeat_n(now, count));
        if step == 80 {
            agent.on_status_report(report(1, 2, WARMUP), now);
        } else if step == 160 {
            agent.on_status_report(report(1, 3, WARMUP), now);
        }
    }
    assert!(
        busiest_second(&times) <= BOUND,
        "{}",
        busiest_second(&times)
    );
    // The limit must not starve the target either.
    assert!(times.len() >= 40, "{}", times.len());
}

/// A balancer that may be declined must learn at once that it has to select another agent.
#[test]
fn flow_beyond_the_limit_is_declined() {
    let now = Instant::now();
    let mut agent = cold_agent(now);
    assert_eq!(rush(&mut agent, 1, 20, now), 20);
    let actions = open(&mut agent, 100, Some(500), Some(RATE), now);
    let declined = Message::OpenRefused {
        flow: flow(100),
        cause: RefusalCause::BusierThanExpected,
    };
    assert!(sent_messages(&actions).contains(&(balancer_address(4), &declined)));
    let limited = FlowEvent::WarmupLimited {
        flow: flow(100),
        passed_requests: RATE,
        limit: RATE,
    };
    assert!(events(&actions).contains(&&limited));
}

/// A cold target at its limit shows little load, so a selection by load alone returns to it until its agent
/// may no longer decline. With no other target, it is still the one to wait for.
/// Before the first status report, an agent reports no warm-up.
#[test]
fn balancer_selects_another_agent_after_a_cold_one_declined() {
    let now = Instant::now();
    for (count, warmup_left) in [(1, WARMUP), (2, WARMUP), (2, Duration::ZERO)] {
        let mut dispatcher = dispatcher(local_records(count), now);
        let policy = ServicePolicy {
            service: service("matcher"),
            warmup_rate: Some(RequestRate::new(RATE)),
        };
        dispatcher.on_config(&RouteConfig {
            services: Box::new([policy]),
            ..config(2, &["matcher"])
        });
        for number in 1..=count {
            dispatcher.on_report(&record(number, "matcher", "a"), load(3), now);
        }
        let first = start_opening(&mut dispatcher, flow(1), now);
        let cold = AgentRecord {
            warmup_left,
            ..record(first.ip().octets()[3], "matcher", "a")
        };
        dispatcher.on_report(&cold, load(0), now);
        let cause = RefusalCause::BusierThanExpected;
        let actions = dispatcher.on_open_refused(first, flow(1), cause, now);
        let receivers: Vec<_> = sent_messages(&actions).iter().map(|(to, _)| *to).collect();
        let is_same = receivers == [first];
        assert_eq!((receivers.len(), is_same), (1, count == 1));
    }
}

/// A SYN that may not be declined must not be lost: it waits until the window has room.
#[test]
fn flow_that_may_not_be_declined_waits_for_room() {
    let start = Instant::now();
    let mut agent = cold_agent(start);
    assert_eq!(rush(&mut agent, 1, 20, start), 20);
    let later = start + Duration::from_millis(900);
    let actions = open(&mut agent, 100, None, Some(RATE), later);
    let queued = Message::OpenQueued { flow: flow(100) };
    assert!(sent_messages(&actions).contains(&(balancer_address(4), &queued)));
    assert_eq!(
        passed(&agent.on_tick(start + Duration::from_millis(990))),
        0
    );
    assert_eq!(passed(&agent.on_tick(start + Duration::from_secs(1))), 1);
}

/// A limit that outlives the warm-up would keep a target at a fraction of its capacity.
#[test]
fn limit_ends_with_the_warm_up() {
    let start = Instant::now();
    let mut agent = cold_agent(start);
    let warm = start + Duration::from_millis(800);
    agent.on_status_report(report(1, 2, Duration::from_millis(50)), warm);
    assert_eq!(rush(&mut agent, 1, 100, warm), 20);
    let later = warm + Duration::from_millis(50);
    assert_eq!(rush(&mut agent, 200, 100, later), 100);
}

/// The window of the earlier process of the agent is lost, so both together could exceed the bound.
#[test]
fn restarted_agent_beside_a_cold_target_keeps_to_the_bound() {
    let start = Instant::now();
    let mut agent = restarted_agent(start);
    let before_report = rush(&mut agent, 1, 100, start);
    assert_eq!(before_report, 0);
    let reported = start + Duration::from_millis(100);
    agent.on_status_report(report(1, 5, WARMUP), reported);
    let after_report = rush(&mut agent, 200, 100, reported);
    let of_earlier_process = usize::try_from(RATE).unwrap();
    assert!(after_report > 0);
    assert!(of_earlier_process + after_report <= BOUND);
}

/// Deployments without a rate must be served as before, also before the first status report.
#[test]
fn without_a_rate_there_is_no_limit() {
    let now = Instant::now();
    for rate in [None, Some(0)] {
        let mut cold = cold_agent(now);
        let mut silent = agent(now);
        for port in 1..=100 {
            let actions = open(&mut cold, port, Some(500), rate, now);
            assert_eq!(passed(&actions), 1, "port {port}, rate {rate:?}");
        }
        let actions = open(&mut silent, 1, None, rate, now);
        assert_eq!(passed(&actions), 1, "rate {rate:?}");
    }
}

/// Requests on open flows count, so that they and new flows together do not overload the target, but a caller
/// of an open flow has no other target.
#[test]
fn requests_on_open_flows_count_and_are_not_held_back() {
    let start = Instant::now();
    let mut agent = cold_agent(start);
    assert_eq!(rush(&mut agent, 1, 20, start), 20);
    let later = start + Duration::from_millis(900);
    for port in 1..=20 {
        accept(&mut agent, port, 5000, start);
        assert_eq!(forward(&mut agent, port, 5001, later), "target");
    }
    // The SYNs have left the window, but the requests are in it.
    let after = start + Duration::from_millis(1100);
    assert_eq!(rush(&mut agent, 100, 5, after), 0);
}

/// A target that returns SYNs would stay at its limit although it took none of them.
#[test]
fn returned_syn_does_not_stay_counted() {
    let now = Instant::now();
    let mut agent = cold_agent(now);
    assert_eq!(rush(&mut agent, 1, 20, now), 20);
    let mut returned = syn(flow(1), 0);
    returned.flags = returned.flags.with(PacketFlags::BOUNCED);
    agent.on_target_packet(&returned, &encode(&returned), now);
    assert_eq!(rush(&mut agent, 100, 5, now), 1);
    // Another packet of the target changes nothing.
    let answer = from_target(flow(2), PacketFlags::ACK, 5001, 500);
    agent.on_target_packet(&answer, &encode(&answer), now);
    assert_eq!(rush(&mut agent, 200, 5, now), 0);
}
