//! Forwarding, placement and lookup of flows at a balancer.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, AgentRecord, Arrival, BufferedPacket, Dispatcher, DispatcherOptions, DropCause,
    FlowEvent, FlowKey, LookupAnswer, Message, PacketFlags, RefusalCause, ResetCause,
    ResetEvidenceKind,
};
use cranberrypitch_core::{Incarnation, TargetState};

use crate::agent::restarted_agent;
use crate::support::{
    agent_address, config, domain, encode, events, flow, from_caller, load, record, request,
    reset_count, sent_messages, status_report, syn,
};

pub(crate) fn dispatcher(records: Vec<AgentRecord>, now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    dispatcher.on_config(&config(1, &["matcher"]));
    dispatcher.on_agent_list(records, now);
    dispatcher
}

pub(crate) fn local_records(count: u8) -> Vec<AgentRecord> {
    (1..=count).map(|i| record(i, "matcher", "a")).collect()
}

/// Opens a flow and returns the agent that got the SYN.
pub(crate) fn open(dispatcher: &mut Dispatcher, flow: FlowKey, now: Instant) -> SocketAddrV4 {
    let header = syn(flow, 0);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    match sent_messages(&actions)[..] {
        [(agent, Message::Open { .. })] => agent,
        ref other => panic!("expected one SYN to an agent, got {other:?}"),
    }
}

/// Passes a request of the flow to the balancer and returns the names of the messages that it sends.
pub(crate) fn send_request(
    dispatcher: &mut Dispatcher,
    flow: FlowKey,
    now: Instant,
) -> Vec<(SocketAddrV4, &'static str)> {
    let header = request(flow, 77);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    sent_messages(&actions)
        .into_iter()
        .map(|(peer, m)| (peer, message_name(m)))
        .collect()
}

/// Returns the agents that get a batch of lookup queries, with the number of queries.
fn batched_queries(dispatcher: &mut Dispatcher, now: Instant) -> Vec<(SocketAddrV4, usize)> {
    let actions = dispatcher.on_tick(now);
    let queried =
        sent_messages(&actions)
            .into_iter()
            .filter_map(|(agent, message)| match message {
                Message::LookupBatch(queries) => Some((agent, queries.len())),
                _ => None,
            });
    queried.collect()
}

fn message_name(message: &Message<'_>) -> &'static str {
    match message {
        Message::Open { .. } => "open",
        Message::Forward { .. } => "forward",
        Message::Lookup { .. } => "lookup",
        _ => "other",
    }
}

/// A retransmitted SYN that arrives soon must not open the flow at a second target.
#[test]
fn retransmitted_syn_goes_to_the_same_agent() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(5), now);
    let agent = open(&mut dispatcher, flow(1), now);
    let header = syn(flow(1), 1);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(
        &header,
        &packet,
        Arrival::at(now + Duration::from_millis(5)),
    );
    assert!(matches!(sent_messages(&actions)[..], [(a, Message::Open { .. })] if a == agent));
}

/// If an agent does not reply to a SYN, the balancer tries another one before the caller retransmits the
/// SYN after 200 ms.
#[test]
fn syn_is_sent_to_another_agent_after_a_timeout() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(5), now);
    let first = open(&mut dispatcher, flow(1), now);
    let actions = dispatcher.on_tick(now + Duration::from_millis(60));
    let messages = sent_messages(&actions);
    assert!(
        matches!(messages[..], [(a, Message::Open { .. })] if a != first),
        "{messages:?}"
    );
}

/// The SYN of a refused flow is sent to every other target before the flow is reset.
#[test]
fn refused_flow_is_reset_after_all_targets() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(3), now);
    let mut agent = open(&mut dispatcher, flow(1), now);
    let mut tried = vec![agent];
    for _ in 0..2 {
        let actions = dispatcher.on_open_refused(agent, flow(1), RefusalCause::TargetFull, now);
        agent = sent_messages(&actions)[0].0;
        assert!(!tried.contains(&agent), "{agent} got the SYN twice");
        tried.push(agent);
    }
    let actions = dispatcher.on_open_refused(agent, flow(1), RefusalCause::TargetFull, now);
    assert_eq!(reset_count(&actions), 1);
    let reset = FlowEvent::Reset {
        flow: flow(1),
        cause: ResetCause::NoTarget,
        evidence: ResetEvidenceKind::FirstSyn,
        read_after: None,
    };
    assert!(events(&actions).contains(&&reset));
}

/// During recovery, an agent whose target is busier than expected reports its load and declines the flow.
/// The balancer selects again by the new load, and after two declines the agent can't decline any more.
#[test]
fn declined_flow_goes_to_the_least_loaded_agent() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(3), now);
    for record in local_records(3) {
        dispatcher.on_report(&record, load(1), now);
    }
    let first = open(&mut dispatcher, flow(1), now);
    let decline = |dispatcher: &mut Dispatcher, agent: SocketAddrV4, running| {
        let number = agent.ip().octets()[3];
        dispatcher.on_report(&record(number, "matcher", "a"), load(running), now);
        let actions =
            dispatcher.on_open_refused(agent, flow(1), RefusalCause::BusierThanExpected, now);
        assert_eq!(reset_count(&actions), 0);
        match sent_messages(&actions)[..] {
            [(agent, Message::Open { params, .. })] => (agent, params.expected_requests),
            ref other => panic!("expected one SYN to an agent, got {other:?}"),
        }
    };
    let (second, expected) = decline(&mut dispatcher, first, 9);
    assert_ne!(second, first);
    assert_eq!(expected, Some(1));
    let (third, expected) = decline(&mut dispatcher, second, 9);
    assert!(third != first && third != second);
    assert_eq!(expected, None, "a third decline must not be possible");
}

/// Another balancer may have opened the flow with the first transmission of the SYN, so a balancer that
/// gets only a retransmission must not reset the flow.
#[test]
fn later_copy_is_never_answered_by_a_reset() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    let header = syn(flow(1), 1);
    let packet = encode(&header);
    dispatcher.on_packet(&header, &packet, Arrival::at(now));
    let agent = agent_address(1);
    let actions = dispatcher.on_open_refused(agent, flow(1), RefusalCause::TargetFull, now);
    assert_eq!(reset_count(&actions), 0);
}

/// The agents that rank highest for a flow are queried first. Querying all 40 agents for each flow kept a
/// balancer busy for seconds after another balancer had stopped.
#[test]
fn top_ranked_agents_are_queried_first() {
    let now = Instant::now();
    let mut records = local_records(10);
    records.extend((11..=40).map(|i| record(i, "matcher", "b")));
    let mut dispatcher = dispatcher(records, now);
    let queried = send_request(&mut dispatcher, flow(1), now);
    assert_eq!(queried.len(), 4);
    assert!(queried.iter().all(|(_, name)| *name == "lookup"));
}

/// The agent at which another balancer opened a flow is among the agents that are queried first.
#[test]
fn agent_of_a_new_flow_is_queried_first() {
    let now = Instant::now();
    let mut records = local_records(10);
    records.extend((11..=40).map(|i| record(i, "matcher", "b")));
    for port in 1..200 {
        let agent = open(&mut dispatcher(records.clone(), now), flow(port), now);
        let queried = send_request(&mut dispatcher(records.clone(), now), flow(port), now);
        assert!(queried.contains(&(agent, "lookup")), "{port}");
    }
}

#[test]
fn buffered_packets_are_forwarded_after_a_lookup() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    send_request(&mut dispatcher, flow(1), now);
    // A retransmission of the same packet is not buffered again.
    assert!(send_request(&mut dispatcher, flow(1), now).is_empty());
    let second = from_caller(flow(1), PacketFlags::ACK, 77, 300);
    let packet = encode(&second);
    assert!(
        dispatcher
            .on_packet(&second, &packet, Arrival::at(now))
            .is_empty()
    );
    let holder = agent_address(2);
    let actions = dispatcher.on_lookup_reply(holder, flow(1), LookupAnswer::Held, now);
    let messages = sent_messages(&actions);
    assert_eq!(messages.len(), 2);
    assert!(
        messages
            .iter()
            .all(|(peer, m)| *peer == holder && message_name(m) == "forward")
    );
    assert_eq!(
        send_request(&mut dispatcher, flow(1), now),
        [(holder, "forward")]
    );
}

/// A flow that no agent holds is reset only after the agent list has been read again, as the list of a
/// balancer may lack a new agent.
#[test]
fn flow_not_found_is_reset_after_the_agent_list_was_read() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    send_request(&mut dispatcher, flow(1), now);
    dispatcher.on_lookup_reply(agent_address(1), flow(1), LookupAnswer::NotHeld, now);
    let actions = dispatcher.on_lookup_reply(agent_address(2), flow(1), LookupAnswer::NotHeld, now);
    assert!(actions.contains(&Action::RefreshAgents));
    assert_eq!(reset_count(&actions), 0);

    let earlier = now.checked_sub(Duration::from_millis(1)).unwrap();
    assert_eq!(
        reset_count(&dispatcher.on_agents_refreshed(earlier, now)),
        0
    );
    let actions = dispatcher.on_agents_refreshed(now, now + Duration::from_millis(8));
    assert_eq!(reset_count(&actions), 1);
}

/// After a power failure callers of hundreds of lost flows wait for a reset. The agent list is read while
/// agents are still being queried; reading it after their replies took another 60 to 160 ms.
#[test]
fn agent_list_is_read_during_a_lookup() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(6), now);
    send_request(&mut dispatcher, flow(1), now);
    let reply_not_held = |dispatcher: &mut Dispatcher, number| {
        let agent = agent_address(number);
        dispatcher.on_lookup_reply(agent, flow(1), LookupAnswer::NotHeld, now)
    };
    let mut reads = 0;
    for number in 1..=6 {
        reads +=
            usize::from(reply_not_held(&mut dispatcher, number).contains(&Action::RefreshAgents));
    }
    assert_eq!(
        reads, 1,
        "the four top-ranked agents are queried before all others"
    );
    assert_eq!(reset_count(&dispatcher.on_agents_refreshed(now, now)), 0);
    let ended: usize = (1..=6)
        .map(|n| reset_count(&reply_not_held(&mut dispatcher, n)))
        .sum();
    assert_eq!(ended, 1);
}

/// An agent that was added to the list during a lookup is queried before the flow is reset.
#[test]
fn new_agent_is_queried_before_a_reset() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    send_request(&mut dispatcher, flow(1), now);
    dispatcher.on_lookup_reply(agent_address(1), flow(1), LookupAnswer::NotHeld, now);
    dispatcher.on_registered(&record(9, "matcher", "a"), now);
    let actions = dispatcher.on_agents_refreshed(now, now);
    assert_eq!(reset_count(&actions), 0);
    assert_eq!(
        batched_queries(&mut dispatcher, now),
        [(agent_address(9), 1)]
    );
}

/// An agent that started after its target does not have all flows of the target, so packets are forwarded
/// to it, and its target returns those of flows that it does not hold.
#[test]
fn packets_are_forwarded_to_possible_holders_until_returned() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    send_request(&mut dispatcher, flow(1), now);
    dispatcher.on_lookup_reply(agent_address(1), flow(1), LookupAnswer::NotHeld, now);
    let actions =
        dispatcher.on_lookup_reply(agent_address(2), flow(1), LookupAnswer::MayBeHeld, now);
    assert!(
        matches!(sent_messages(&actions)[..], [(a, Message::Forward { .. })] if a == agent_address(2))
    );

    let header = request(flow(1), 77);
    let actions = dispatcher.on_packet_returned(agent_address(2), &header, &encode(&header), now);
    assert!(actions.contains(&Action::RefreshAgents), "{actions:?}");
    assert_eq!(reset_count(&dispatcher.on_agents_refreshed(now, now)), 1);
}

/// After all daemons were killed, every agent is a possible holder of every flow. Packets were forwarded
/// to all agents of the deployment and saturated the links.
#[test]
fn packets_are_forwarded_to_few_possible_holders_at_a_time() {
    let now = Instant::now();
    let mut records = local_records(10);
    records.extend((11..=40).map(|i| record(i, "matcher", "b")));
    let mut dispatcher = dispatcher(records, now);
    let first = send_request(&mut dispatcher, flow(1), now);
    let mut forwarded = Vec::new();
    for (agent, _) in first {
        let actions = dispatcher.on_lookup_reply(agent, flow(1), LookupAnswer::MayBeHeld, now);
        forwarded.extend(sent_messages(&actions).iter().map(|(peer, _)| *peer));
    }
    assert_eq!(forwarded.len(), 4);
    let header = request(flow(1), 77);
    let mut queried = Vec::new();
    for agent in forwarded {
        let actions = dispatcher.on_packet_returned(agent, &header, &encode(&header), now);
        queried.extend(
            sent_messages(&actions)
                .iter()
                .map(|(peer, m)| (*peer, message_name(m))),
        );
    }
    assert_eq!(queried.len(), 4, "{queried:?}");
    let holder = queried[0].0;
    let actions = dispatcher.on_lookup_reply(holder, flow(1), LookupAnswer::Held, now);
    let messages = sent_messages(&actions);
    assert!(
        matches!(messages[..], [(a, Message::Forward { .. })] if a == holder),
        "{messages:?}"
    );
}

/// After a power failure no agent holds any flow. Queries to all agents for each flow saturated the links
/// of balancers for 20 s, and replies were lost.
#[test]
fn queries_for_many_lost_flows_are_limited() {
    let now = Instant::now();
    let mut records = local_records(10);
    records.extend((11..=60).map(|i| record(i, "matcher", "b")));
    let mut dispatcher = dispatcher(records, now);
    let mut query_count = 0;
    for port in 1..=600 {
        let mut queried = send_request(&mut dispatcher, flow(port), now);
        while !queried.is_empty() {
            query_count += queried.len();
            let mut next = Vec::new();
            for (agent, _) in queried {
                let answer = LookupAnswer::NotHeld;
                let actions = dispatcher.on_lookup_reply(agent, flow(port), answer, now);
                next.extend(
                    sent_messages(&actions)
                        .into_iter()
                        .map(|(peer, m)| (peer, message_name(m))),
                );
            }
            queried = next;
        }
    }
    // Eight queries for each flow in the first two stages, and one burst of batched queries to all agents
    // with one message for each agent.
    assert!(query_count <= 600 * 8, "{query_count}");
    for after_ms in [0, 100] {
        let batches = batched_queries(&mut dispatcher, now + Duration::from_millis(after_ms));
        let sent_queries: usize = batches.iter().map(|(_, queries)| queries).sum();
        assert!(
            (900..=1500).contains(&sent_queries),
            "{sent_queries} after {after_ms} ms"
        );
        assert!(batches.len() <= 60, "{} messages", batches.len());
    }
}

/// Agents that don't reply because a link is saturated must not get an unlimited number of SYNs.
#[test]
fn unanswered_syn_is_sent_to_few_agents() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(20), now);
    open(&mut dispatcher, flow(1), now);
    let mut syn_count = 1;
    for step in 1..=70 {
        let actions = dispatcher.on_tick(now + Duration::from_millis(20) * step);
        syn_count += sent_messages(&actions).len();
    }
    assert!((3..=5).contains(&syn_count), "{syn_count}");
}

/// An open flow stays at its agent when its route changes to another service.
#[test]
fn open_flow_stays_at_its_agent_when_the_route_changes() {
    let now = Instant::now();
    let mut records = local_records(2);
    records.push(record(3, "tracer", "a"));
    let mut dispatcher = dispatcher(records, now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_open_accepted(agent, flow(1), now);
    dispatcher.on_config(&config(2, &["tracer"]));
    assert_eq!(
        send_request(&mut dispatcher, flow(1), now),
        [(agent, "forward")]
    );
    assert_eq!(open(&mut dispatcher, flow(2), now), agent_address(3));
}

/// A balancer that started after a change of the route still finds the flow at an earlier service.
#[test]
fn flow_of_an_earlier_route_is_found_at_other_services() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    dispatcher.on_config(&config(2, &["tracer"]));
    let records = vec![record(1, "tracer", "a"), record(2, "matcher", "a")];
    dispatcher.on_agent_list(records, now);
    assert_eq!(
        send_request(&mut dispatcher, flow(1), now),
        [(agent_address(1), "lookup")]
    );
    dispatcher.on_lookup_reply(agent_address(1), flow(1), LookupAnswer::NotHeld, now);
    assert_eq!(
        batched_queries(&mut dispatcher, now),
        [(agent_address(2), 1)]
    );
}

#[test]
fn older_configuration_is_not_put_in_force() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    dispatcher.on_config(&config(7, &["matcher"]));
    let actions = dispatcher.on_config(&config(6, &["tracer"]));
    assert!(matches!(
        events(&actions)[..],
        [FlowEvent::ConfigurationStale { .. }]
    ));
    assert_eq!(open(&mut dispatcher, flow(1), now), agent_address(1));
}

/// Routers may send packets to a balancer before it is ready. A dropped SYN delays the caller by 200 ms.
#[test]
fn early_packets_wait_for_configuration_and_list() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    let header = syn(flow(1), 0);
    let packet = encode(&header);
    assert!(
        dispatcher
            .on_packet(&header, &packet, Arrival::at(now))
            .is_empty()
    );
    dispatcher.on_config(&config(1, &["matcher"]));
    assert!(dispatcher.take_buffered_packets(now).is_empty());
    dispatcher.on_agent_list(local_records(1), now);
    assert_eq!(
        dispatcher.take_buffered_packets(now),
        [BufferedPacket {
            packet: packet.into_boxed_slice(),
            arrival: Arrival::at(now),
        }]
    );
}

/// Callers don't send SYN-ACKs; one that reached a target would be a forged packet.
#[test]
fn acceptance_from_a_caller_is_dropped() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    let flags = PacketFlags::SYN.with(PacketFlags::ACK);
    let header = from_caller(flow(1), flags, 0, 0);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    let dropped = FlowEvent::Dropped {
        flow: flow(1),
        cause: DropCause::UnexpectedFlags,
    };
    assert_eq!(actions, [Action::RecordEvent(dropped)]);
}

#[test]
fn draining_target_gets_no_new_flow() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    let draining = AgentRecord {
        state: TargetState::Draining,
        ..record(1, "matcher", "a")
    };
    dispatcher.on_report(&draining, load(0), now);
    for port in 1..50 {
        assert_eq!(open(&mut dispatcher, flow(port), now), agent_address(2));
    }
}

/// The flow table must not grow without limit.
#[test]
fn idle_flows_are_removed() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(1), now);
    for port in 1..100 {
        let agent = open(&mut dispatcher, flow(port), now);
        dispatcher.on_open_accepted(agent, flow(port), now);
    }
    assert_eq!(dispatcher.flow_count(), 99);
    dispatcher.on_tick(now + Duration::from_secs(30));
    assert_eq!(dispatcher.flow_count(), 0);
}

/// After all daemons were killed while the store refused connections of some VMs, a seed that had just
/// started served a snapshot without agents, and balancers reset all new flows for 7 s.
#[test]
fn snapshot_is_given_once_agents_are_known() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    dispatcher.on_config(&config(1, &["matcher"]));
    dispatcher.on_report(&record(1, "matcher", "a"), load(0), now);
    assert_eq!(dispatcher.snapshot(), None);
    dispatcher.on_agent_list(local_records(2), now);
    let mut records = dispatcher.snapshot().unwrap();
    records.sort_by_key(|record| record.address);
    assert_eq!(records, local_records(2));
}

/// Agents start while a balancer has only the snapshot of a seed. It receives them with later snapshots,
/// and new flows wait for them.
#[test]
fn syn_waits_for_agents_of_a_later_snapshot() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    dispatcher.on_config(&config(1, &["matcher"]));
    dispatcher.on_snapshot(vec![record(7, "tracer", "a")], now);
    let header = syn(flow(1), 0);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, Arrival::at(now));
    assert_eq!(reset_count(&actions), 0);
    let actions = dispatcher.on_snapshot(local_records(1), now);
    assert!(
        matches!(sent_messages(&actions)[..], [(a, Message::Open { .. })] if a == agent_address(1))
    );
    // A snapshot does not replace the record of an agent that is already known.
    let older = AgentRecord {
        state: TargetState::Draining,
        ..record(1, "matcher", "a")
    };
    assert!(dispatcher.on_snapshot(vec![older], now).is_empty());
}

/// Guards against new flows at a target that is leaving: its agent is killed and starts again, and reports
/// before the target has told it of the drain. Found by the soak.
#[test]
fn restarted_agent_without_a_status_report_does_not_end_a_drain() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    let draining = AgentRecord {
        state: TargetState::Draining,
        ..record(2, "matcher", "a")
    };
    dispatcher.on_report(&draining, load(0), now);
    let mut agent = restarted_agent(now);
    let starting = AgentRecord {
        address: agent_address(2),
        incarnation: Incarnation::new(2),
        ..agent.record(now)
    };
    for _ in 0..2 {
        dispatcher.on_report(&starting, load(0), now);
        for port in 1..20 {
            let opened_at = open(&mut dispatcher, flow(port), now);
            assert_eq!(opened_at, agent_address(1));
            dispatcher.on_open_accepted(opened_at, flow(port), now);
        }
    }
    agent.on_status_report(status_report("i-1", 1, 1), now);
    let ready = AgentRecord {
        state: agent.record(now).state,
        ..starting
    };
    dispatcher.on_report(&ready, load(0), now);
    let is_used = |port| open(&mut dispatcher, flow(port), now) == agent_address(2);
    assert!((20..60).any(is_used));
}
