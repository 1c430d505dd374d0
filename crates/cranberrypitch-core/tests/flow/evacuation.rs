//! Evacuation of failure domains.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, Arrival, Dispatcher, DispatcherOptions, EvacuationChange, EvacuationContents,
    EvacuationRead, EvacuationSet, EvacuationTracker, EvacuationVersion, FlowEvent, Message,
    RefusalCause, ResetCause,
};
use cranberrypitch_core::{FailureDomain, TargetState};

use crate::agent::{open, with_target};
use crate::backlog::{make_busy, open_queued};
use crate::config_reads::check;
use crate::support::{
    agent_address, balancer_address, config, domain, encode, events, flow, load, owned_message,
    record, reset_count, sent_messages, syn,
};

/// The time for which a key that a restored store lacks counts as present.
const GRACE: Duration = Duration::from_millis(3500);

const SECOND: Duration = Duration::from_secs(1);

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| domain(name)).collect()
}

fn set(epoch: u64, revision: u64, names: &[&str]) -> EvacuationSet {
    EvacuationSet {
        version: EvacuationVersion { epoch, revision },
        failure_domains: domains(names),
    }
}

fn listing(epoch: u64, revision: u64, names: &[&str]) -> EvacuationRead {
    EvacuationRead {
        epoch,
        revision,
        contents: EvacuationContents::Listing(domains(names)),
    }
}

/// Returns a read of changes: the names with the revisions of their writes, or none for a removal.
fn changes(epoch: u64, revision: u64, changes: &[(&str, Option<u64>)]) -> EvacuationRead {
    let change = |(name, written_at): &(&str, Option<u64>)| EvacuationChange {
        failure_domain: domain(name),
        written_at: *written_at,
    };
    EvacuationRead {
        epoch,
        revision,
        contents: EvacuationContents::Changes(changes.iter().map(change).collect()),
    }
}

fn tracker(reads: Vec<EvacuationRead>, now: Instant) -> EvacuationTracker {
    let mut tracker = EvacuationTracker::default();
    for read in reads {
        tracker.on_read(read, now);
    }
    tracker
}

/// A dispatcher with routes and two agents in each of two domains.
fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    dispatcher.on_config(&config(1, &["matcher"]));
    let records = (1..=4).map(|index| record(index, "matcher", ["a", "b"][usize::from(index) % 2]));
    dispatcher.on_agent_list(records.collect(), now);
    dispatcher
}

fn open_flow(dispatcher: &mut Dispatcher, port: u16, now: Instant) -> Vec<Action<'static>> {
    let header = syn(flow(port), 0);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    let is_owned = |action: &Action<'_>| !matches!(action, Action::SendToTarget(_));
    assert!(actions.iter().all(is_owned));
    // The SYN is copied, so that the actions outlive the packet.
    let owned = actions.into_iter().map(|action| match action {
        Action::Send { peer, message } => Action::Send {
            peer,
            message: owned_message(message),
        },
        Action::Reset(reset) => Action::Reset(reset),
        Action::RecordEvent(event) => Action::RecordEvent(event),
        other => panic!("unexpected action: {other:?}"),
    });
    owned.collect()
}

/// Returns how many of 200 new flows go to agents of domain `b`, whose addresses are odd.
fn flows_to_b(dispatcher: &mut Dispatcher, first_port: u16, now: Instant) -> usize {
    let mut count = 0;
    for port in first_port..first_port + 200 {
        let actions = open_flow(dispatcher, port, now);
        let sent = sent_messages(&actions);
        let to_b = |agent: u8| agent % 2 == 1;
        count += usize::from(sent.iter().any(|(peer, _)| to_b(peer.ip().octets()[3])));
    }
    count
}

/// Guards against an evacuation that ends with another one.
#[test]
fn overlapping_evacuations_end_separately() {
    let now = Instant::now();
    let reads = vec![
        listing(1, 10, &[]),
        changes(1, 12, &[("a", Some(11))]),
        changes(1, 14, &[("b", Some(13))]),
    ];
    let mut tracker = tracker(reads, now);
    assert_eq!(*tracker.in_force(), set(1, 13, &["a", "b"]));
    assert!(tracker.on_read(changes(1, 16, &[("a", None)]), now));
    assert_eq!(*tracker.in_force(), set(1, 16, &["b"]));
}

/// Guards against deployments without evacuations that send versions and names.
#[test]
fn version_is_zero_before_the_first_evacuation() {
    let now = Instant::now();
    let reads = vec![listing(1, 10, &[]), listing(2, 5, &[]), changes(2, 6, &[])];
    assert_eq!(*tracker(reads, now).in_force(), EvacuationSet::default());
}

/// Guards against a late message that ends an evacuation.
#[test]
fn set_with_an_older_version_is_ignored() {
    let now = Instant::now();
    let mut tracker = tracker(vec![listing(2, 10, &["a"])], now);
    assert!(!tracker.on_set(set(2, 9, &[]), now));
    assert!(!tracker.on_set(set(2, 10, &[]), now));
    assert!(!tracker.on_set(set(1, 99, &[]), now));
    assert!(tracker.on_set(set(2, 11, &["b"]), now));
    assert_eq!(tracker.in_force().failure_domains, domains(&["b"]));
}

/// Guards against an evacuation that stays because its end was in the lost history.
#[test]
fn listing_after_lost_history_is_authoritative() {
    let now = Instant::now();
    let mut tracker = tracker(vec![listing(1, 10, &["a"])], now);
    assert!(tracker.on_read(listing(1, 30, &["b"]), now));
    assert_eq!(*tracker.in_force(), set(1, 30, &["b"]));
    // An equal listing changes nothing, so no message is needed.
    assert!(!tracker.on_read(listing(1, 40, &["b"]), now));
}

/// Guards against new flows in an evacuated domain until the operator has written the lost key again.
#[test]
fn key_that_a_restored_store_lacks_counts_for_the_grace_time() {
    let now = Instant::now();
    let mut tracker = tracker(vec![listing(1, 10, &["a"])], now);
    tracker.on_read(listing(2, 5, &[]), now);
    tracker.on_read(
        changes(2, 5, &[]),
        now + GRACE.saturating_sub(Duration::from_millis(1)),
    );
    assert_eq!(tracker.in_force().failure_domains, domains(&["a"]));
    let graced = tracker.in_force().version;
    assert_eq!(graced.epoch, 2);
    // Nothing was written since, but the new set must replace the one with the missing key at others.
    assert!(tracker.on_read(changes(2, 5, &[]), now + GRACE));
    assert_eq!(*tracker.in_force(), set(2, 5, &[]));
    assert!(tracker.in_force().version > graced);
}

/// Guards against the end of an evacuation at the end of the grace time although the key is back.
#[test]
fn key_that_is_written_again_after_a_restoration_stays() {
    let now = Instant::now();
    let mut tracker = tracker(vec![listing(1, 10, &["a"]), listing(2, 5, &[])], now);
    tracker.on_read(changes(2, 6, &[("a", Some(6))]), now + SECOND);
    tracker.on_read(changes(2, 6, &[]), now + GRACE);
    assert_eq!(tracker.in_force().failure_domains, domains(&["a"]));
    tracker.on_read(changes(2, 9, &[("a", None)]), now + GRACE);
    assert_eq!(*tracker.in_force(), set(2, 9, &[]));
}

/// Guards against a domain that a restored store lists and balancers do not evacuate: a set of the lost
/// history, in which the evacuation had ended, must not replace the listing.
#[test]
fn evacuation_that_a_restored_store_lists_again_is_in_force() {
    let now = Instant::now();
    let mut tracker = tracker(vec![listing(1, 10, &["a"])], now);
    assert!(tracker.on_read(listing(2, 8, &["a"]), now));
    assert!(!tracker.on_set(set(1, 12, &[]), now));
    assert_eq!(*tracker.in_force(), set(2, 8, &["a"]));
}

/// Guards against a balancer that starts after a restoration and ends, for all balancers, an evacuation whose
/// key is about to be written again.
#[test]
fn balancer_that_did_not_see_the_restoration_keeps_the_set_of_others() {
    let now = Instant::now();
    let mut tracker = tracker(vec![listing(2, 8, &[])], now);
    assert!(tracker.on_set(set(1, 10, &["a"]), now));
    tracker.on_read(changes(2, 9, &[]), now + SECOND);
    assert_eq!(tracker.in_force().failure_domains, domains(&["a"]));
    tracker.on_read(changes(2, 9, &[]), now + GRACE);
    assert_eq!(*tracker.in_force(), set(2, 9, &[]));
}

/// Guards against SYNs that wait for a target of an evacuated domain, or are passed to it later.
#[test]
fn queued_syns_are_refused_at_once() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let own = agent.record(now).failure_domain;
    make_busy(&mut agent, now);
    open_queued(&mut agent, 20, now);
    let actions = agent.on_evacuations(set(1, 5, &[own.as_str()]));
    let refused = Message::OpenRefused {
        flow: flow(20),
        cause: RefusalCause::Evacuated,
    };
    assert_eq!(sent_messages(&actions), [(balancer_address(1), &refused)]);
}

/// Guards against new flows through a balancer that does not know of the evacuation. After the end, the agent
/// takes flows again.
#[test]
fn agent_of_an_evacuated_domain_refuses_new_flows_itself() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let own = agent.record(now).failure_domain;
    agent.on_evacuations(set(1, 5, &["elsewhere", own.as_str()]));
    assert_eq!(open(&mut agent, 1, now), Some(RefusalCause::Evacuated));
    agent.on_evacuations(set(1, 6, &["elsewhere"]));
    assert_eq!(open(&mut agent, 1, now), None);
}

/// Guards against balancers that don't watch the store and never learn of an evacuation.
#[test]
fn check_carries_the_set_to_agents_and_other_balancers() {
    let now = Instant::now();
    let mut balancer = dispatcher(now);
    balancer.on_evacuation_read(listing(1, 10, &["b"]), now);
    let announced = balancer.announce_config_check(check(1, 0, 2));
    let (_, message) = sent_messages(&announced)[0];
    let Message::ConfigCheck { check, evacuations } = message else {
        panic!("unexpected message: {message:?}");
    };
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    let relayed = agent.on_config_check(balancer_address(2), check, evacuations, now);
    assert_eq!(sent_messages(&relayed), [(balancer_address(1), message)]);
    let reports = agent.on_tick(now + SECOND);
    let versions: Vec<_> = sent_messages(&reports)
        .into_iter()
        .filter_map(|(_, message)| match message {
            Message::Report { evacuations, .. } => Some(*evacuations),
            _ => None,
        })
        .collect();
    assert!(!versions.is_empty());
    assert!(
        versions
            .iter()
            .all(|version| *version == evacuations.version)
    );
}

/// Guards against a SYN that is given up because the agent knew of the evacuation first.
#[test]
fn refused_syn_is_placed_in_another_domain() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let actions = open_flow(&mut dispatcher, 1, now);
    let first = sent_messages(&actions)[0].0;
    let actions = dispatcher.on_open_refused(first, flow(1), RefusalCause::Evacuated, now);
    let sent = sent_messages(&actions);
    assert!(matches!(sent[..], [(next, Message::Open { .. })] if next != first));
}

/// Guards against selection of agents of an evacuated domain, and against agents that never learn of it.
#[test]
fn no_flow_is_placed_in_an_evacuated_domain_and_its_agents_are_told() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let actions = dispatcher.on_evacuation_read(listing(1, 10, &["b", "nowhere"]), now);
    let in_force = set(1, 10, &["b", "nowhere"]);
    let told = sent_messages(&actions);
    assert_eq!(told.len(), 4);
    assert!(
        told.iter()
            .all(|(_, m)| **m == Message::Evacuations(in_force.clone()))
    );
    let event = |name, agent_count| FlowEvent::EvacuationInForce {
        failure_domain: domain(name),
        version: in_force.version,
        agent_count,
    };
    assert_eq!(events(&actions), [&event("b", 2), &event("nowhere", 0)]);
    assert_eq!(flows_to_b(&mut dispatcher, 1, now), 0);
    let older = EvacuationVersion::default();
    let repeated = dispatcher.on_evacuation_report(agent_address(1), older);
    assert_eq!(sent_messages(&repeated).len(), 1);
    let current = dispatcher.on_evacuation_report(agent_address(1), in_force.version);
    assert_eq!(sent_messages(&current).len(), 0);
}

/// Guards against callers that wait for a timeout although no target may serve them.
#[test]
fn flow_is_reset_at_once_if_all_domains_are_evacuated() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.on_evacuations(set(1, 10, &["a", "b"]), now);
    let actions = open_flow(&mut dispatcher, 1, now);
    assert_eq!(reset_count(&actions), 1);
    let is_evacuated = |event: &&FlowEvent| matches!(event, FlowEvent::Reset { cause, .. } if *cause == ResetCause::Evacuated);
    assert!(events(&actions).iter().any(is_evacuated));
}

/// Guards against all balancers sending all new flows to the idle targets of a domain when its evacuation
/// ends.
#[test]
fn flows_return_gradually_after_the_end() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    // The agents in `a` are busy, so that the ramp alone keeps flows from those in `b`.
    for index in 1..=4 {
        let domain = ["a", "b"][usize::from(index) % 2];
        let requests = if domain == "a" { 500 } else { 0 };
        dispatcher.on_report(&record(index, "matcher", domain), load(requests), now);
    }
    dispatcher.on_evacuations(set(1, 10, &["b"]), now);
    let ended = dispatcher.on_evacuations(set(1, 11, &[]), now);
    assert!(
        events(&ended)
            .iter()
            .any(|e| matches!(e, FlowEvent::EvacuationEnded { .. }))
    );
    assert_eq!(flows_to_b(&mut dispatcher, 1, now), 0);
    let half = flows_to_b(&mut dispatcher, 1001, now + SECOND);
    assert!((60..=140).contains(&half), "{half} of 200 flows");
    assert!(flows_to_b(&mut dispatcher, 2001, now + 2 * SECOND) > 190);
}

/// Guards against resets during the ramp while the domain has the only ready targets.
#[test]
fn ramp_does_not_hold_if_no_other_agent_is_ready() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.on_evacuations(set(1, 10, &["b"]), now);
    dispatcher.on_evacuations(set(1, 11, &[]), now);
    for index in [2, 4] {
        let mut draining = record(index, "matcher", "a");
        draining.state = TargetState::Draining;
        dispatcher.on_report(&draining, load(0), now);
    }
    assert_eq!(flows_to_b(&mut dispatcher, 1, now), 200);
}
