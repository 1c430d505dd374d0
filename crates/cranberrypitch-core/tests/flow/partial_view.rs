//! Flows of which an agent has seen only a part, as it started after they were opened.

use std::time::Instant;

use cranberrypitch_core::flow::{FlowEvent, FlowView};

use crate::agent::{accept, open, with_target};
use crate::support::{balancer_address, events, flow};

/// Guards against a reset whose log lines don't show why the agent denied the flow.
#[test]
fn denial_of_a_flow_records_the_compared_numbers() {
    let now = Instant::now();
    let mut agent = with_target(now);
    open(&mut agent, 1, now);
    accept(&mut agent, 1, 5000, now);
    let actions = agent.on_lookup(balancer_address(2), flow(1), 900_000, now);
    let event = FlowEvent::NotHeld {
        flow: flow(1),
        ack_number: 900_000,
        first_seq: 5000,
        next_seq: 5000,
        view: FlowView::Whole,
    };
    assert_eq!(events(&actions), [&event]);
}
