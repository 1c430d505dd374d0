//! The measured service time of targets, and its effect on the selection.

use std::time::{Duration, Instant};

use cranberrypitch_core::Slots;
use cranberrypitch_core::flow::{
    AgentDirectory, AgentDirectoryOptions, AgentLoad, AgentSelector, AgentSelectorOptions,
    LoadMeter, SelectionRequest,
};

use crate::support::{agent_address, domain, flow, load, record, tag};

fn at_speed(running_requests: u16, service_time_ms: u64) -> AgentLoad {
    AgentLoad {
        service_time: Duration::from_millis(service_time_ms),
        ..load(running_requests)
    }
}

/// Returns how many of 1,000 flows each of the agents gets, with the given loads in their reports.
fn flows_by_agent(loads: &[AgentLoad], now: Instant) -> Vec<usize> {
    let mut directory = AgentDirectory::new(AgentDirectoryOptions::default(), domain("a"));
    for (index, load) in (1..).zip(loads) {
        directory.on_report(record(index, "matcher", "a"), *load, now);
    }
    let mut selector = AgentSelector::new(AgentSelectorOptions::default());
    let mut selected = Vec::new();
    for port in 0..1000 {
        let request = SelectionRequest {
            flow: flow(port),
            service: tag("matcher"),
            is_bulk: false,
            excluded: &[],
        };
        let agent = selector.select(&request, &directory, now).unwrap();
        selected.push(agent.address);
    }
    let count = |index| {
        selected
            .iter()
            .filter(|a| **a == agent_address(index))
            .count()
    };
    (1..).zip(loads).map(|(index, _)| count(index)).collect()
}

/// Guards against equal numbers of flows at targets of different speeds, where requests at the slow ones
/// wait longest. Load: as many requests at each target.
#[test]
fn slow_targets_get_fewer_flows() {
    let loads = [
        at_speed(4, 73),
        at_speed(4, 33),
        at_speed(4, 33),
        at_speed(4, 33),
    ];
    let flows = flows_by_agent(&loads, Instant::now());
    let slow_fraction = |fast: usize| flows[0] * 10 < fast * 6;
    assert!(
        flows[1..].iter().all(|fast| slow_fraction(*fast)),
        "{flows:?}"
    );
}

/// Guards against flows that move because of noise: the measured times of targets of equal speed differ
/// by a tenth. Load: uneven, so that a changed comparison would show.
#[test]
fn noise_in_measured_times_changes_nothing() {
    let now = Instant::now();
    let loads = [
        at_speed(3, 36),
        at_speed(2, 44),
        at_speed(4, 40),
        at_speed(2, 38),
    ];
    let unmeasured = loads.map(|load| AgentLoad {
        service_time: Duration::ZERO,
        ..load
    });
    assert_eq!(
        flows_by_agent(&loads, now),
        flows_by_agent(&unmeasured, now)
    );
}

/// Runs requests one after the other on each slot for `duration`. Returns the time of the last response.
fn run_requests(
    meter: &mut LoadMeter,
    slots: u32,
    service_time: Duration,
    start: Instant,
) -> Instant {
    let mut now = start;
    for _ in 0..100 {
        for _ in 0..slots {
            meter.begin_request(now);
        }
        now += service_time;
        for _ in 0..slots {
            meter.complete_request(now);
        }
    }
    now
}

/// Guards against a measurement that includes the wait for a slot. Load: twice as many requests as slots.
#[test]
fn queued_requests_do_not_count_as_service_time() {
    let mut now = Instant::now();
    let mut meter = LoadMeter::new(Slots::new(3), now);
    for _ in 0..6 {
        meter.begin_request(now);
    }
    for _ in 0..100 {
        now += Duration::from_millis(40);
        for _ in 0..3 {
            meter.complete_request(now);
            meter.begin_request(now);
        }
    }
    let measured = meter.load(0, now).service_time;
    assert!(
        measured.abs_diff(Duration::from_millis(40)) < Duration::from_millis(1),
        "{measured:?}"
    );
}

/// Guards against a target that looks fast because its callers give up. Load: half of the requests are
/// given up after the service time.
#[test]
fn abandoned_requests_are_no_responses() {
    let mut now = Instant::now();
    let mut meter = LoadMeter::new(Slots::new(2), now);
    for _ in 0..100 {
        meter.begin_request(now);
        meter.begin_request(now);
        now += Duration::from_millis(40);
        meter.complete_request(now);
        meter.abandon_request(now);
    }
    let measured = meter.load(0, now).service_time;
    assert!(
        measured.abs_diff(Duration::from_millis(80)) < Duration::from_millis(2),
        "{measured:?}"
    );
}

/// Guards against a change of the measured time while a target has nothing to do. Load: requests, then
/// none for a minute.
#[test]
fn idle_time_does_not_change_the_service_time() {
    let now = Instant::now();
    let mut meter = LoadMeter::new(Slots::new(2), now);
    let end = run_requests(&mut meter, 2, Duration::from_millis(25), now);
    let busy = meter.load(0, end).service_time;
    let idle = meter.load(0, end + Duration::from_mins(1)).service_time;
    assert_eq!(busy, idle);
    assert!(
        busy.abs_diff(Duration::from_millis(25)) < Duration::from_millis(1),
        "{busy:?}"
    );
}
