//! Requests of open flows that wait at an agent while its target is busy.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, DropCause, FlowAgent, FlowEvent, Message, OpenParams, PacketFlags, PacketHeader,
    RefusalCause, RequestLimits,
};

use crate::agent::{accept, restarted_agent, with_target};
use crate::support::{
    balancer_address, decode, encode, events, flow, from_caller, from_target, params, reset_count,
    sent_messages, status_report, syn,
};

const LIMITS: RequestLimits = RequestLimits {
    latency_objective: Duration::from_millis(300),
    timeout: Duration::from_secs(3),
};

/// The first sequence number of the callers' data.
const FIRST_SEQ: u32 = 1000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn send(agent: &mut FlowAgent, header: &PacketHeader, now: Instant) -> Vec<Action<'static>> {
    let packet = encode(header);
    let actions = agent.on_forward(balancer_address(1), header, &packet, now);
    actions.into_iter().map(owned).collect()
}

fn owned(action: Action<'_>) -> Action<'static> {
    match action {
        Action::SendToTarget(packet) => Action::SendToTarget(packet.into_owned().into()),
        Action::RecordEvent(event) => Action::RecordEvent(event),
        Action::Reset(reset) => Action::Reset(reset),
        other => panic!("unexpected action: {other:?}"),
    }
}

/// Returns the packet with the given hundred bytes of the data of a flow's caller.
fn data(port: u16, index: u32) -> PacketHeader {
    PacketHeader {
        seq_number: FIRST_SEQ + 100 * index,
        ..from_caller(flow(port), PacketFlags::ACK, 5001, 100)
    }
}

fn open_with_limits(agent: &mut FlowAgent, port: u16, limits: RequestLimits, now: Instant) {
    let header = syn(flow(port), 0);
    let params = OpenParams {
        limits,
        ..params(1, None)
    };
    agent.on_open(balancer_address(1), params, &header, &encode(&header), now);
    accept(agent, port, 5000, now);
}

/// Returns an agent whose target, with four slots, runs eight requests of the flows 1 to 8, and an open flow 20
/// without a request.
fn busy_agent(now: Instant) -> FlowAgent {
    busy_agent_with_limits(LIMITS, now)
}

fn busy_agent_with_limits(limits: RequestLimits, now: Instant) -> FlowAgent {
    // The reservation for the first request of flow 20 ends before the target is busy.
    let opened_at = now.checked_sub(ms(100)).unwrap();
    let mut agent = with_target(opened_at);
    open_with_limits(&mut agent, 20, limits, opened_at);
    for port in 1..=8 {
        open_with_limits(&mut agent, port, limits, now);
        assert_eq!(to_target(&send(&mut agent, &data(port, 0), now)).len(), 1);
    }
    agent
}

/// Returns the callers' ports and sequence numbers of the packets that are passed to the target.
fn to_target(actions: &[Action<'_>]) -> Vec<(u16, u32)> {
    let packets = actions.iter().filter_map(|action| match action {
        Action::SendToTarget(packet) => Some(decode(packet)),
        _ => None,
    });
    packets
        .map(|header| (header.source.port(), header.seq_number))
        .collect()
}

fn respond(agent: &mut FlowAgent, port: u16, now: Instant) -> Vec<(u16, u32)> {
    let header = from_target(flow(port), PacketFlags::ACK, 5001, 500);
    to_target(&agent.on_target_packet(&header, &encode(&header), now))
}

/// Requests of open flows filled the FIFO queue of a busy target.
#[test]
fn request_waits_until_the_target_answers() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    assert_eq!(send(&mut agent, &data(20, 0), now), []);
    assert!(agent.has_waiting_requests());
    assert_eq!(respond(&mut agent, 1, now), [(20, 1000)]);
    assert!(!agent.has_waiting_requests());
    assert_eq!(agent.running_requests(now), 8);
}

/// Guards against the loss of an open flow: its agent was restarted and met it in its middle, a late copy of its SYN
/// gave the limits of its requests, and a retransmission of data that the target has was held back as a new request. Once
/// that was dropped, all later data counted as unreadable.
#[test]
fn retransmission_on_a_flow_met_in_its_middle_does_not_wait() {
    let now = Instant::now();
    let opened_at = now.checked_sub(ms(100)).unwrap();
    let mut agent = restarted_agent(opened_at);
    agent.on_status_report(status_report("i-1", 1, 5), opened_at);
    open_with_limits(&mut agent, 20, LIMITS, opened_at);
    let acknowledgement = from_target(flow(20), PacketFlags::ACK, 5300, 0);
    agent.on_target_packet(&acknowledgement, &encode(&acknowledgement), opened_at);
    for port in 1..=8 {
        open_with_limits(&mut agent, port, LIMITS, now);
        send(&mut agent, &data(port, 0), now);
    }
    let retransmission = to_target(&send(&mut agent, &data(20, 3), now));
    assert_eq!(retransmission, [(20, 1300)]);
    respond(&mut agent, 20, now);
    // The agent knows from here on which data is new.
    assert_eq!(send(&mut agent, &data(20, 4), now), []);
}

/// A deployment at usual load must see no change.
#[test]
fn request_passes_at_once_below_two_requests_a_slot() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    respond(&mut agent, 1, now);
    assert_eq!(
        to_target(&send(&mut agent, &data(20, 0), now)),
        [(20, 1000)]
    );
}

/// A flow without a known timeout would wait without a bound.
#[test]
fn request_without_known_limits_passes_at_once() {
    let now = Instant::now();
    let mut agent = busy_agent_with_limits(RequestLimits::default(), now);
    assert_eq!(
        to_target(&send(&mut agent, &data(20, 0), now)),
        [(20, 1000)]
    );
}

/// The admission of a SYN has counted its first request, which must not wait a second time.
#[test]
fn first_request_of_a_new_flow_passes_at_once() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    respond(&mut agent, 1, now);
    open_with_limits(&mut agent, 21, LIMITS, now);
    assert_eq!(
        to_target(&send(&mut agent, &data(21, 0), now)),
        [(21, 1000)]
    );
}

/// Packets of one flow that change their order cost a retransmission.
#[test]
fn packets_of_one_flow_keep_their_order() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    for part in 0..3 {
        assert_eq!(send(&mut agent, &data(20, part), now), []);
    }
    let passed = respond(&mut agent, 1, now);
    assert_eq!(passed, [(20, 1000), (20, 1100), (20, 1200)]);
}

/// A caller retransmits a request that waits longer than its retransmission timeout.
#[test]
fn copy_of_a_waiting_packet_is_ignored() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    send(&mut agent, &data(20, 0), now);
    assert_eq!(send(&mut agent, &data(20, 0), now + ms(200)), []);
    assert_eq!(respond(&mut agent, 1, now + ms(200)), [(20, 1000)]);
    assert_eq!(respond(&mut agent, 2, now + ms(200)), []);
}

/// A caller whose acknowledgement waits behind its request keeps the target from sending.
#[test]
fn packet_without_new_data_does_not_wait() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    send(&mut agent, &data(20, 0), now);
    let ack = from_caller(flow(20), PacketFlags::ACK, 5001, 0);
    assert_eq!(to_target(&send(&mut agent, &ack, now)).len(), 1);
    // A retransmission of a running request.
    assert_eq!(to_target(&send(&mut agent, &data(1, 0), now)).len(), 1);
}

/// The packets of a flow that wait must be bounded, as memory is.
#[test]
fn packets_beyond_sixteen_are_dropped() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    for part in 0..16 {
        assert_eq!(send(&mut agent, &data(20, part), now), []);
    }
    let full = FlowEvent::Dropped {
        flow: flow(20),
        cause: DropCause::BufferFull,
    };
    assert_eq!(events(&send(&mut agent, &data(20, 16), now)), [&full]);
    assert_eq!(respond(&mut agent, 1, now).len(), 16);
}

/// After a freeze of the agent, requests that their callers have given up took the slots of others.
#[test]
fn request_past_its_timeout_is_never_started() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    send(&mut agent, &data(20, 0), now);
    let later = now + ms(3000);
    agent.on_status_report(status_report("i-1", 1, 2), later);
    assert_eq!(respond(&mut agent, 1, later), []);
    let timed_out = FlowEvent::RequestTimedOut {
        flow: flow(20),
        waited: ms(3000),
    };
    assert!(events(&agent.on_tick(later)).contains(&&timed_out));
    assert!(!agent.has_waiting_requests());
    // The flow stays open, and neither a retransmission nor what follows it reaches the target.
    for part in 0..2 {
        let actions = send(&mut agent, &data(20, part), later);
        assert_eq!((to_target(&actions), reset_count(&actions)), (vec![], 0));
    }
}

/// A caller that ends its flow does not read the response.
#[test]
fn request_is_given_up_when_its_caller_ends_the_flow() {
    for flag in [PacketFlags::FIN, PacketFlags::RST] {
        let now = Instant::now();
        let mut agent = busy_agent(now);
        send(&mut agent, &data(20, 0), now);
        let end = from_caller(flow(20), PacketFlags::ACK.with(flag), 5001, 0);
        assert_eq!(to_target(&send(&mut agent, &end, now)).len(), 1);
        assert!(!agent.has_waiting_requests());
        assert_eq!(respond(&mut agent, 1, now), []);
    }
}

/// Requests that wait for a target which has exited would wait for their timeout. The target returns them.
#[test]
fn exit_of_the_target_leaves_nothing_waiting() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    send(&mut agent, &data(20, 0), now);
    open_with_limits_queued(&mut agent, 30, now);
    let actions = agent.on_target_exit("i-1", now);
    check_nothing_left(&agent, &actions);
    let mut returned = data(20, 0);
    returned.flags = returned.flags.with(PacketFlags::BOUNCED);
    let packet = encode(&returned);
    let actions = agent.on_target_packet(&returned, &packet, now);
    assert_eq!(reset_count(&actions), 1);
}

/// An agent that stops passed its flows on, but left their waiting requests behind.
#[test]
fn stop_of_the_agent_leaves_nothing_waiting() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    send(&mut agent, &data(20, 0), now);
    open_with_limits_queued(&mut agent, 30, now);
    let actions = agent.on_stop(now);
    check_nothing_left(&agent, &actions);
}

fn open_with_limits_queued(agent: &mut FlowAgent, port: u16, now: Instant) {
    let header = syn(flow(port), 0);
    let packet = encode(&header);
    let actions = agent.on_open(balancer_address(1), params(1, None), &header, &packet, now);
    assert_eq!(to_target(&actions), []);
}

fn check_nothing_left(agent: &FlowAgent, actions: &[Action<'_>]) {
    assert!(!agent.has_waiting_requests());
    assert_eq!(to_target(actions), [(20, 1000)]);
    let refused = Message::OpenRefused {
        flow: flow(30),
        cause: RefusalCause::Draining,
    };
    assert!(sent_messages(actions).contains(&(balancer_address(1), &refused)));
}

/// Balancers selected an agent whose target looked below its limit while requests waited.
#[test]
fn waiting_requests_count_as_load() {
    let now = Instant::now();
    let mut agent = busy_agent(now);
    send(&mut agent, &data(20, 0), now);
    let actions = agent.on_tick(now + ms(200));
    let loads = sent_messages(&actions)
        .into_iter()
        .filter_map(|(_, m)| match m {
            Message::Report { load, .. } => Some(load.running_requests),
            _ => None,
        });
    assert_eq!(loads.max(), Some(9));
}
