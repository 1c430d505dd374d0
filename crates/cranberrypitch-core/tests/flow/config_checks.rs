//! Checks of the configuration that agents relay between balancers.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{Action, Dispatcher, DispatcherOptions, EvacuationSet, Message};

use crate::agent::{open, with_target};
use crate::config_reads::check;
use crate::support::{balancer_address, domain, record, sent_messages};

fn receivers(actions: &[Action<'_>]) -> Vec<SocketAddrV4> {
    let sent = sent_messages(actions).into_iter();
    let mut receivers: Vec<_> = sent
        .filter(|(_, message)| matches!(message, Message::ConfigCheck { .. }))
        .map(|(receiver, _)| receiver)
        .collect();
    receivers.sort_unstable();
    receivers
}

/// Guards against balancers that get no checks because they don't know each other: an agent relays a
/// check to the balancers that use it and to those that announced checks, once and not back.
#[test]
fn agent_relays_a_check_to_the_other_balancers_that_it_knows() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    assert_eq!(
        receivers(&agent.on_config_check(
            balancer_address(2),
            &check(5, 0, 2),
            &EvacuationSet::default(),
            now
        )),
        [balancer_address(1)]
    );
    assert_eq!(
        receivers(&agent.on_config_check(
            balancer_address(3),
            &check(5, 0, 3),
            &EvacuationSet::default(),
            now
        )),
        [balancer_address(1), balancer_address(2)]
    );
}

/// Guards against checks that seem younger than they are, because they were relayed twice.
#[test]
fn agent_relays_no_check_that_was_relayed_before() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    let actions = agent.on_config_check(
        balancer_address(3),
        &check(5, 0, 2),
        &EvacuationSet::default(),
        now,
    );
    assert_eq!(receivers(&actions), []);
}

/// Guards against traffic between failure domains from balancers that open no flows at an agent: those
/// that only announce checks get no load reports.
#[test]
fn balancer_that_only_announces_checks_gets_no_reports() {
    let now = Instant::now();
    let mut agent = with_target(now);
    agent.set_registered(true);
    let announcement = agent.on_tick(now);
    assert_eq!(
        sent_messages(&announcement).len(),
        2,
        "to the seed balancers"
    );
    agent.on_config_check(
        balancer_address(2),
        &check(5, 0, 2),
        &EvacuationSet::default(),
        now,
    );
    let later = now + Duration::from_secs(2);
    assert_eq!(sent_messages(&agent.on_tick(later)), []);
}

/// Guards against a fleet in which only the failure domain of the watching balancer gets its checks.
#[test]
fn check_is_sent_to_a_few_agents_of_each_failure_domain() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    let records = (1..=30).map(|index| {
        let domains = ["a", "b", "c"];
        record(index, "matcher", domains[usize::from(index) % 3])
    });
    dispatcher.on_agent_list(records.collect(), now);
    let mut relays: Vec<_> = Vec::new();
    for _ in 0..10 {
        let receivers = receivers(&dispatcher.announce_config_check(check(5, 0, 1)));
        for remainder in 0..3 {
            let in_domain = |a: &&SocketAddrV4| a.ip().octets()[3] % 3 == remainder;
            assert_eq!(receivers.iter().filter(in_domain).count(), 3);
        }
        relays.extend(receivers);
    }
    relays.sort_unstable();
    relays.dedup();
    assert_eq!(relays.len(), 30, "the agents take turns");
}
