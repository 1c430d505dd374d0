//! SYNs whose age a balancer does not know, because it stood still or kept them.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    Action, Arrival, ArrivalTracker, Dispatcher, DispatcherOptions, DropCause, FlowEvent,
    RefusalCause,
};

use crate::dispatcher::{dispatcher, local_records, open};
use crate::support::{config, domain, encode, events, flow, reset_count, sent_messages, syn};

fn read_syn(dispatcher: &mut Dispatcher, earlier: u32, arrival: Arrival) -> Vec<Action<'static>> {
    let header = syn(flow(1), earlier);
    let packet = encode(&header);
    let actions = dispatcher.on_packet(&header, &packet, arrival);
    let owned = actions.into_iter().map(|action| match action {
        Action::Send { peer, message } => Action::Send {
            peer,
            message: crate::support::owned_message(message),
        },
        Action::Reset(reset) => Action::Reset(reset),
        Action::RecordEvent(event) => Action::RecordEvent(event),
        Action::RefreshAgents => Action::RefreshAgents,
        Action::CheckConfig => Action::CheckConfig,
        other => panic!("unexpected action: {other:?}"),
    });
    owned.collect()
}

/// Returns the arrival of a packet that is read after the balancer stood still for a time.
fn after_pause(pause: Duration, now: Instant) -> Arrival {
    Arrival::since(now.checked_sub(pause).unwrap(), pause, now)
}

fn is_placed(actions: &[Action<'_>]) -> bool {
    !sent_messages(actions).is_empty()
}

/// Guards against the reset of a flow that another balancer opened with a copy of the SYN, while this one stood still
/// and has no ready target.
#[test]
fn first_syn_is_not_refused_after_a_pause() {
    let now = Instant::now() + Duration::from_mins(1);
    for pause_ms in [200, 500, 1300, 5000] {
        let mut dispatcher = dispatcher(Vec::new(), now);
        let arrival = after_pause(Duration::from_millis(pause_ms), now);
        let actions = read_syn(&mut dispatcher, 0, arrival);
        assert_eq!(reset_count(&actions), 0, "after {pause_ms} ms");
    }
}

/// Guards against the same fault in a balancer that is behind with its work.
#[test]
fn first_syn_is_not_refused_while_the_socket_is_never_empty() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut dispatcher = dispatcher(Vec::new(), now);
    let earliest = now.checked_sub(Duration::from_millis(300)).unwrap();
    let arrival = Arrival::since(earliest, Duration::ZERO, now);
    assert_eq!(reset_count(&read_syn(&mut dispatcher, 0, arrival)), 0);
}

/// Guards against callers that wait: a SYN which no copy can have followed yet is refused at once.
#[test]
fn first_syn_is_refused_after_a_short_pause() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut dispatcher = dispatcher(Vec::new(), now);
    let arrival = after_pause(Duration::from_millis(100), now);
    assert_eq!(reset_count(&read_syn(&mut dispatcher, 0, arrival)), 1);
}

/// Guards against the loss of a SYN that arrived during a pause shorter than its caller waits.
#[test]
fn syn_is_placed_after_a_pause() {
    let now = Instant::now() + Duration::from_mins(1);
    for earlier in 0..3 {
        let mut dispatcher = dispatcher(local_records(2), now);
        let arrival = after_pause(Duration::from_millis(1300), now);
        assert!(is_placed(&read_syn(&mut dispatcher, earlier, arrival)));
    }
}

/// Guards against load from SYNs whose callers have long opened their flows or given up, and against the loss of
/// the copy that follows the pause.
#[test]
fn syn_of_a_long_pause_is_dropped_and_its_copy_placed() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut dispatcher = dispatcher(local_records(2), now);
    let arrival = after_pause(Duration::from_millis(1400), now);
    let actions = read_syn(&mut dispatcher, 0, arrival);
    let dropped = FlowEvent::Dropped {
        flow: flow(1),
        cause: DropCause::SynOutdated,
    };
    assert_eq!(events(&actions), [&dropped]);
    let copied = now + Duration::from_millis(150);
    assert!(is_placed(&read_syn(
        &mut dispatcher,
        1,
        Arrival::at(copied)
    )));
}

/// Guards against the same fault after a wait for the first configuration.
#[test]
fn first_syn_that_was_kept_for_the_configuration_is_not_refused() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatcherOptions::default(), domain("a"));
    assert!(read_syn(&mut dispatcher, 0, Arrival::at(now)).is_empty());
    let later = now + Duration::from_millis(500);
    dispatcher.on_agent_list(Vec::new(), later);
    dispatcher.on_config(&config(1, &["matcher"]));
    let kept = dispatcher.take_buffered_packets(later);
    let arrival = kept[0].arrival;
    assert_eq!(reset_count(&read_syn(&mut dispatcher, 0, arrival)), 0);
}

/// Guards against the same fault if the SYN waits at an agent: its copy may have gone to another balancer, which
/// opened the flow.
#[test]
fn syn_whose_copy_went_elsewhere_is_not_reset_when_its_agent_refuses_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(5), now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_open_queued(agent, flow(1), now);
    let later = now + Duration::from_millis(300);
    let actions = dispatcher.on_open_refused(agent, flow(1), RefusalCause::Overloaded, later);
    assert_eq!(reset_count(&actions), 0);
}

/// Guards against callers that wait: with all three transmissions, no other balancer can open the flow.
#[test]
fn syn_is_reset_after_its_last_copy() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(5), now);
    let agent = open(&mut dispatcher, flow(1), now);
    for (earlier, ms) in [(1, 200), (2, 600)] {
        let at = now + Duration::from_millis(ms);
        read_syn(&mut dispatcher, earlier, Arrival::at(at));
    }
    dispatcher.on_open_queued(agent, flow(1), now);
    let later = now + Duration::from_millis(1100);
    let actions = dispatcher.on_open_refused(agent, flow(1), RefusalCause::Overloaded, later);
    assert_eq!(reset_count(&actions), 1);
}

/// Guards against a SYN that counts as fresh although its reader stood still since the socket was last empty.
#[test]
fn packets_of_a_pause_arrived_since_the_socket_was_empty() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut tracker = ArrivalTracker::new(start);
    tracker.on_turn(at(50));
    tracker.on_empty(at(50));
    tracker.on_turn(at(3450));
    tracker.on_turn(at(3460));
    let expected = Arrival::since(at(50), Duration::from_millis(3400), at(3460));
    assert_eq!(tracker.arrival(at(3460)), expected);
    tracker.on_empty(at(3460));
    let expected = Arrival::since(at(3460), Duration::ZERO, at(3470));
    assert_eq!(tracker.arrival(at(3470)), expected);
}
