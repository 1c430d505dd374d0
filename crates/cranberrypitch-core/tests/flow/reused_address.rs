//! Flows at an agent whose address served another service before.
//!
//! A target that ended is followed by one of another service at the same address, with an agent of its own.
//! Reports of the earlier target may still arrive there, and balancers may still send flows for its service.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{FlowAgent, RefusalCause, StatusReport};

use crate::agent::{agent, open, open_for, restarted_agent, with_target};
use crate::support::{service, status_report, tag};

/// The time between two reports of a target.
const INTERVAL: Duration = Duration::from_millis(770);

/// A report of the target of the service `tracer` that had the address before. The agent has the service
/// `matcher` in its settings.
fn late_report(sequence: u64) -> StatusReport {
    StatusReport {
        service: service("tracer"),
        ..status_report("i-earlier", 1, sequence)
    }
}

/// Opens a flow for the service of the earlier target. Returns why it was refused, if it was.
fn open_for_tracer(agent: &mut FlowAgent, port: u16, now: Instant) -> Option<RefusalCause> {
    open_for(agent, port, tag("tracer"), now)
}

/// Guards against requests that are run by a target of another service: a late report of the target that had
/// the address before is the first one to reach the agent.
#[test]
fn late_report_of_an_earlier_target_opens_no_flow_for_its_service() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    agent.on_status_report(late_report(40), now);
    for step in 0..20 {
        let at = now + INTERVAL / 20 * step;
        let refusal = open_for_tracer(&mut agent, 1, at);
        assert_eq!(refusal, Some(RefusalCause::OtherService));
    }
    assert_eq!(agent.record(now).service, service("matcher"));
}

/// Guards against the same with several late reports, which arrive together.
#[test]
fn late_reports_that_arrive_together_open_no_flow_for_their_service() {
    let now = Instant::now();
    let mut agent = restarted_agent(now);
    for sequence in 40..44 {
        agent.on_status_report(late_report(sequence), now);
        let refusal = open_for_tracer(&mut agent, 1, now);
        assert_eq!(refusal, Some(RefusalCause::OtherService));
    }
    let at = now + Duration::from_millis(100);
    agent.on_status_report(status_report("i-1", 10_000, 1), at);
    let at = at + INTERVAL;
    agent.on_status_report(status_report("i-1", 10_000, 2), at);
    assert_eq!(open(&mut agent, 2, at), None);
    let refusal = open_for_tracer(&mut agent, 3, at);
    assert_eq!(refusal, Some(RefusalCause::OtherService));
}

/// Guards against flows of another service that a single report with the id and the start of the target's
/// process opens: a process never changes its service.
#[test]
fn report_of_the_target_with_another_service_opens_no_flow_for_it() {
    let now = Instant::now();
    let mut agent = with_target(now);
    let at = now + INTERVAL;
    let other = StatusReport {
        service: service("tracer"),
        ..status_report("i-1", 1, 2)
    };
    agent.on_status_report(other, at);
    let refusal = open_for_tracer(&mut agent, 1, at);
    assert_eq!(refusal, Some(RefusalCause::OtherService));
    let at = at + INTERVAL;
    agent.on_status_report(status_report("i-1", 1, 3), at);
    assert_eq!(open(&mut agent, 2, at), None);
}

/// Guards against a target that gets no flows because its service differs from the one in the settings of its
/// agent, for example as these have changed: its reports go on, so they decide.
#[test]
fn reports_that_go_on_override_the_service_in_the_settings() {
    let now = Instant::now();
    let mut agent = agent(now);
    let report = |sequence| StatusReport {
        service: service("tracer"),
        ..status_report("i-1", 1, sequence)
    };
    agent.on_status_report(report(1), now);
    agent.on_status_report(report(2), now + INTERVAL);
    assert_eq!(open_for_tracer(&mut agent, 1, now + INTERVAL), None);
    assert_eq!(agent.record(now).service, service("tracer"));
}
