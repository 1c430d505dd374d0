//! Refusals of agents at a balancer.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{Arrival, FlowEvent, RefusalCause, ResetCause, ResetEvidenceKind};

use crate::dispatcher::{dispatcher, local_records, open};
use crate::support::{encode, events, flow, reset_count, sent_messages, syn};

/// A SYN in the queue of an agent is not sent to other agents, where it would be queued as well. When
/// the agent refuses it, the flow is reset so that its caller can retry.
#[test]
fn queued_syn_is_not_sent_to_other_agents() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(5), now);
    let agent = open(&mut dispatcher, flow(1), now);
    dispatcher.on_open_queued(agent, flow(1), now);
    let copied = now + Duration::from_millis(200);
    let copy = syn(flow(1), 1);
    let packet = encode(&copy);
    let actions = dispatcher.on_packet(&copy, &packet, Arrival::at(copied));
    assert_eq!(sent_messages(&actions)[0].0, agent);
    let later = now + Duration::from_millis(300);
    assert!(sent_messages(&dispatcher.on_tick(later)).is_empty());
    let actions = dispatcher.on_open_refused(agent, flow(1), RefusalCause::Overloaded, later);
    let reset = FlowEvent::Reset {
        flow: flow(1),
        cause: ResetCause::Overloaded,
        evidence: ResetEvidenceKind::FirstSyn,
        read_after: None,
    };
    assert!(events(&actions).contains(&&reset));
    assert!(sent_messages(&actions).is_empty());
}

/// An agent that was given up for its silence refused the SYN later, and the flow was reset although another
/// agent's target was about to accept it.
#[test]
fn late_refusal_of_an_earlier_agent_does_not_reset_the_flow() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(2), now);
    let first = open(&mut dispatcher, flow(1), now);
    let later = now + Duration::from_millis(70);
    dispatcher.on_tick(later);
    let actions = dispatcher.on_open_refused(first, flow(1), RefusalCause::Overloaded, later);
    assert_eq!(reset_count(&actions), 0);
}

/// Guards against a caller that gives up: agents that refused at once lengthened the timeout of a silent one, as if they
/// had been silent too.
#[test]
fn refusals_do_not_lengthen_the_wait_for_a_silent_agent() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(local_records(4), now);
    let mut agent = open(&mut dispatcher, flow(1), now);
    for _ in 0..2 {
        let refusal = RefusalCause::Draining;
        let actions = dispatcher.on_open_refused(agent, flow(1), refusal, now);
        agent = sent_messages(&actions)[0].0;
    }
    let actions = dispatcher.on_tick(now + Duration::from_millis(60));
    let next = sent_messages(&actions);
    assert_eq!(next.len(), 1, "the silent agent is still awaited");
    assert_ne!(next[0].0, agent);
}
