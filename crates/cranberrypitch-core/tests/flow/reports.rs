//! Reports of an agent to balancers, and how agents and balancers find each other.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{Action, AgentLoad, FlowAgent, Message, PacketFlags, RefusalCause};

use crate::agent::{accept, agent, bounce, lookup, open, with_target};
use crate::dispatcher::{dispatcher, local_records};
use crate::support::{
    agent_address, balancer_address, encode, flow, from_target, load, record, request,
    sent_messages, status_report, syn,
};

/// During an outage of the store, a new agent reports to seed balancers and to the balancers of the agents
/// in their replies. Otherwise its target would stay idle while other targets are replaced in a release.
#[test]
fn unregistered_agent_reports_to_seed_balancers() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let later = now + Duration::from_secs(1);
    let actions = agent.on_tick(later);
    let receivers: Vec<_> = sent_messages(&actions)
        .iter()
        .map(|(peer, _)| *peer)
        .collect();
    assert_eq!(receivers, [balancer_address(8), balancer_address(9)]);

    let actions = agent.on_agent_list(&[agent_address(2)]);
    assert!(
        matches!(sent_messages(&actions)[..], [(a, Message::BalancerQuery)] if a == agent_address(2))
    );
    let actions = agent.on_balancer_list(&[balancer_address(3)], later);
    let messages = sent_messages(&actions);
    assert!(matches!(messages[..], [(b, Message::Report { .. })] if b == balancer_address(3)));

    agent.set_registered(true);
    let actions = agent.on_tick(later + Duration::from_secs(2));
    let receivers: Vec<_> = sent_messages(&actions)
        .iter()
        .map(|(peer, _)| *peer)
        .collect();
    assert_eq!(receivers, [balancer_address(3)]);
}

/// Load pattern: the targets of a service are replaced one after the other. A new target must get flows
/// before balancers read the list of agents, so its agent announces itself at once, also if it is
/// registered, and repeats that once in case a report is lost.
#[test]
fn new_agent_announces_itself_although_it_is_registered() {
    let now = Instant::now();
    let mut agent = with_target(now);
    agent.set_registered(true);
    let mut announced = Vec::new();
    for elapsed_ms in (100..5000).step_by(100) {
        let actions = agent.on_tick(now + Duration::from_millis(elapsed_ms));
        announced.extend(sent_messages(&actions).iter().map(|_| elapsed_ms));
    }
    assert_eq!(announced, [100, 100, 1100, 1100], "two seed balancers");
}

/// Balancers that opened flows recently get several reports a second, those that only forwarded packets or
/// queries get one a second, and those that have stopped get none.
#[test]
fn reports_are_sent_to_active_balancers() {
    let now = Instant::now();
    let mut agent = with_target(now);
    agent.set_registered(true);
    open(&mut agent, 1, now);
    lookup(&mut agent, 9, 1, now);
    let mut reports = [0; 10];
    for tenths in 1..=10 {
        let actions = agent.on_tick(now + Duration::from_millis(tenths * 100));
        for (peer, _) in sent_messages(&actions) {
            reports[usize::from(peer.ip().octets()[3])] += 1;
        }
    }
    // The last two are the seed balancers, to which the new agent announces itself.
    assert_eq!(reports, [0, 5, 1, 0, 0, 0, 0, 0, 1, 1]);
    let later = now + Duration::from_secs(11);
    assert!(sent_messages(&agent.on_tick(later)).is_empty());
}

/// Returns the percentage of failed responses in a report.
fn reported_failures(agent: &mut FlowAgent, now: Instant) -> u8 {
    reported_load(agent, now).failed_responses_percent
}

/// Returns the load in a report.
fn reported_load(agent: &mut FlowAgent, now: Instant) -> AgentLoad {
    agent.on_lookup(balancer_address(1), flow(99), 1, now);
    let actions = agent.on_tick(now + Duration::from_secs(1));
    let load = sent_messages(&actions)
        .iter()
        .find_map(|(_, message)| match message {
            Message::Report { load, .. } => Some(*load),
            _ => None,
        });
    load.expect("a report is due")
}

/// Guards against an ejection by a ratio of a few responses: the report has their number, which decays
/// like the failures.
#[test]
fn weighted_responses_are_reported() {
    let now = Instant::now();
    let mut agent = with_target(now);
    for _ in 0..20 {
        agent.on_response(200, now);
        agent.on_response(500, now);
    }
    let soon = reported_load(&mut agent, now).weighted_responses;
    assert!((25..=40).contains(&soon), "{soon}");
    let later = now + Duration::from_secs(9);
    let decayed = reported_load(&mut agent, later).weighted_responses;
    assert!(decayed <= 2, "{decayed}");
}

/// Guards against a target that fails at once and seems fast. Load: on one flow, a successful response
/// of 30 ms and an immediate failure in turn.
#[test]
fn failures_do_not_make_a_target_seem_fast() {
    let mut now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    let mut next = request(flow(1), 5001);
    for _ in 0..50 {
        for (status, elapsed_ms) in [(200, 30), (500, 0)] {
            agent.on_forward(balancer_address(1), &next, &encode(&next), now);
            next.seq_number += u32::from(next.payload_len_bytes);
            now += Duration::from_millis(elapsed_ms);
            agent.on_response(status, now);
            let response = from_target(flow(1), PacketFlags::ACK, next.ack_number, 500);
            agent.on_target_packet(&response, &encode(&response), now);
            next.ack_number += 500;
        }
    }
    let measured = reported_load(&mut agent, now).service_time;
    let expected = Duration::from_millis(30);
    assert!(
        measured.abs_diff(expected) <= Duration::from_millis(1),
        "{measured:?}"
    );
}

/// A target that passes its health checks while its responses fail would get flows all the time. A busy
/// target (503) refuses flows by other means, and errors of callers (4xx) are not failures of the target.
#[test]
fn failed_responses_are_reported() {
    let now = Instant::now();
    let mut agent = with_target(now);
    for _ in 0..10 {
        agent.on_response(200, now);
        agent.on_response(404, now);
        agent.on_response(503, now);
    }
    assert_eq!(reported_failures(&mut agent, now), 0);
    let later = now + Duration::from_secs(3);
    for _ in 0..120 {
        agent.on_response(500, later);
    }
    let failed = reported_failures(&mut agent, later);
    assert!(failed >= 80, "{failed}");
}

/// A target that restarts repeatedly loses its flows each time, so a restart counts as several failures
/// that decay over seconds.
#[test]
fn restarted_target_is_reported_as_failing() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let reported_at = now + Duration::from_millis(800);
    agent.on_status_report(status_report("i-1", 2, 1), reported_at);
    let confirmed_at = now + Duration::from_millis(1600);
    agent.on_status_report(status_report("i-1", 2, 2), confirmed_at);
    assert!(reported_failures(&mut agent, confirmed_at) > 50);
    let later = now + Duration::from_secs(20);
    agent.on_status_report(status_report("i-1", 2, 3), later);
    assert!(reported_failures(&mut agent, later) < 10);
}

/// The agent of a target without status reports refuses all flows, and the target looks idle. Balancers
/// that select it first lose the time of a refusal for each flow (incident inc-b83e).
#[test]
fn silent_target_is_reported_as_failing() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let silent_at = now + Duration::from_secs(5);
    assert_eq!(reported_failures(&mut agent, silent_at), 100);
}

/// An agent that the store does not list gets a list of other agents, through which it discovers balancers.
#[test]
fn unlisted_agent_gets_an_agent_list() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    let actions = dispatcher.on_report(&record(7, "matcher", "a"), load(0), now);
    let messages = sent_messages(&actions);
    assert!(
        matches!(messages[..], [(a, Message::AgentList(others))] if a == agent_address(7) && others.len() == 2),
        "{messages:?}"
    );
    let actions = dispatcher.on_report(&record(1, "matcher", "a"), load(0), now);
    assert!(sent_messages(&actions).is_empty());
}

/// Guards against a new target that stays unknown in its failure domain: in a large fleet the agents
/// that fit into a message would be arbitrary ones, whose balancers are elsewhere.
#[test]
fn unlisted_agent_gets_agents_of_its_failure_domain_first() {
    let now = Instant::now();
    let far = (1..=40).map(|index| record(index, "matcher", "a"));
    let near = (41..=44).map(|index| record(index, "matcher", "b"));
    let mut dispatcher = dispatcher(far.chain(near).collect(), now);
    let actions = dispatcher.on_report(&record(50, "matcher", "b"), load(0), now);
    let messages = sent_messages(&actions);
    let [(_, Message::AgentList(others))] = &*messages else {
        panic!("{messages:?}");
    };
    for index in 41..=44 {
        assert!(others.contains(&agent_address(index)), "{others:?}");
    }
}

/// Load pattern: all VMs lose power while targets are being replaced, and some agents start without their
/// targets. Guards against new flows that all detour through such an agent: it looks idle until its
/// first status report is overdue.
#[test]
fn agent_without_its_target_takes_no_flows_after_the_first_returned_syn() {
    let now = Instant::now();
    let mut agent = agent(now);
    assert_eq!(open(&mut agent, 1, now), None);
    let refused = |actions: &[Action<'_>]| {
        sent_messages(actions).iter().any(|(_, message)| {
            let full = RefusalCause::TargetFull;
            matches!(message, Message::OpenRefused { cause, .. } if *cause == full)
        })
    };
    assert!(refused(&bounce(&mut agent, syn(flow(1), 0), now)));
    assert_eq!(open(&mut agent, 2, now), Some(RefusalCause::TargetSilent));
    assert_eq!(reported_failures(&mut agent, now), 100);

    let later = now + Duration::from_secs(1);
    agent.on_status_report(status_report("i-1", 1, 1), later);
    assert_eq!(open(&mut agent, 3, later), None);
}
