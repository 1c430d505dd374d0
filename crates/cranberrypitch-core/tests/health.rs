//! Tests of the health of a backend server.

use std::time::{Duration, Instant};

use cranberrypitch_core::admission::CapacityLimit;
use cranberrypitch_core::health::{
    HealthChange, HealthMonitor, HealthOptions, HealthState, Observation,
};

const SECOND: Duration = Duration::from_secs(1);
const ANSWERED: Observation = Observation::Answered { latency: SECOND };
const ENDPOINT_OK: Observation = Observation::HealthEndpoint { is_ok: true };
const ENDPOINT_BAD: Observation = Observation::HealthEndpoint { is_ok: false };

fn ready(now: Instant) -> HealthMonitor {
    let mut health = HealthMonitor::new(HealthOptions::default(), now);
    health.observe(ENDPOINT_OK, now);
    assert_eq!(health.state(), HealthState::Ready);
    health
}

fn observe_times(health: &mut HealthMonitor, observation: Observation, times: u32, now: Instant) {
    for _ in 0..times {
        health.observe(observation, now);
    }
}

/// Guards against endpoints that take precedence over outcomes of requests, in either direction.
#[test]
fn outcomes_overrule_the_endpoints() {
    let now = Instant::now();
    let mut health = ready(now);
    for second in 0..10 {
        health.observe(ANSWERED, now + SECOND * second);
        health.observe(ENDPOINT_BAD, now + SECOND * second);
    }
    assert_eq!(health.state(), HealthState::Ready);
    assert_eq!(health.endpoint_mismatches().health_false_failing, 10);
    let now = now + 10 * SECOND;
    observe_times(&mut health, Observation::Failed, 4, now);
    observe_times(&mut health, ENDPOINT_OK, 5, now);
    assert_eq!(health.state(), HealthState::Failing);
    assert_eq!(health.endpoint_mismatches().health_false_ok, 5);
}

/// Guards against ignoring the health endpoint of an idle backend server, and against a single bad
/// answer that makes it failing.
#[test]
fn endpoint_decides_without_outcomes() {
    let now = Instant::now();
    let mut health = ready(now);
    observe_times(&mut health, ENDPOINT_BAD, 2, now);
    assert_eq!(health.state(), HealthState::Ready);
    health.observe(ENDPOINT_BAD, now);
    assert_eq!(health.state(), HealthState::Failing);
}

/// Guards against a single failure that makes a backend server failing, and against slow or stalled
/// backend servers that stay ready.
#[test]
fn failures_slowness_and_stalls_count() {
    let now = Instant::now();
    let mut health = ready(now);
    for _ in 0..9 {
        health.observe(Observation::Failed, now);
        health.observe(ANSWERED, now);
    }
    assert_eq!(health.state(), HealthState::Ready);
    health.observe(Observation::Failed, now);
    assert_eq!(health.state(), HealthState::Failing);

    let mut slow = ready(now);
    let latency = 31 * SECOND;
    observe_times(&mut slow, Observation::Answered { latency }, 4, now);
    assert_eq!(slow.state(), HealthState::Failing);

    let mut stalled = ready(now);
    let (running, slots) = (4, 4);
    stalled.observe(Observation::Slots { running, slots }, now);
    assert_eq!(stalled.next_tick(), Some(now + 30 * SECOND));
    stalled.observe(Observation::Tick, now + 29 * SECOND);
    assert_eq!(stalled.state(), HealthState::Ready);
    stalled.observe(Observation::Tick, now + 30 * SECOND);
    assert_eq!(stalled.state(), HealthState::Failing);
}

/// Guards against a failing backend server that receives all requests, changes its state again and
/// again, or is never probed.
#[test]
fn failing_server_is_probed_and_recovers_slowly() {
    let now = Instant::now();
    let mut health = ready(now);
    observe_times(&mut health, Observation::Failed, 4, now);
    assert!(!health.accepts_flows());
    let mut due = health.next_tick().expect("a probe is due");
    let mut intervals_ms = Vec::new();
    for _ in 0..6 {
        let changes = health.observe(Observation::Tick, due);
        assert_eq!(
            changes,
            [HealthChange::CapacityLimit(CapacityLimit::Probe(1))]
        );
        assert!(health.accepts_flows());
        health.observe(Observation::Failed, due);
        let next = health.next_tick().expect("a probe is due");
        intervals_ms.push((next - due).as_millis());
        due = next;
    }
    assert_eq!(intervals_ms, [1000, 2000, 4000, 8000, 8000, 8000]);
    health.observe(Observation::Tick, due);
    observe_times(&mut health, ANSWERED, 2, due);
    assert_eq!(health.state(), HealthState::Failing);
    let changes = health.observe(ANSWERED, due);
    let ramp = HealthChange::CapacityLimit(CapacityLimit::Ramp);
    assert_eq!(changes, [ramp, HealthChange::State(HealthState::Ready)]);
}

/// Guards against a start that never completes because the health endpoint stays bad.
#[test]
fn start_does_not_need_the_endpoint() {
    let now = Instant::now();
    let mut health = HealthMonitor::new(HealthOptions::default(), now);
    observe_times(&mut health, ENDPOINT_BAD, 10, now);
    assert_eq!(health.state(), HealthState::Starting);
    let due = now + 20 * SECOND;
    let probe = HealthChange::CapacityLimit(CapacityLimit::Probe(1));
    assert_eq!(health.observe(Observation::Tick, due), [probe]);
    observe_times(&mut health, ANSWERED, 3, due);
    assert_eq!(health.state(), HealthState::Ready);
}

/// Guards against a backend server that keeps shedding requests, and against a limit that is never
/// removed.
#[test]
fn shed_requests_lower_the_limit_for_a_while() {
    let now = Instant::now();
    let mut health = ready(now);
    let (running, slots) = (4, 4);
    health.observe(Observation::Slots { running, slots }, now);
    let limited = |requests| HealthChange::CapacityLimit(CapacityLimit::Limited(requests));
    assert_eq!(health.observe(Observation::Shed, now), [limited(3)]);
    assert_eq!(health.state(), HealthState::Ready);
    let (running, slots) = (3, 3);
    health.observe(Observation::Slots { running, slots }, now);
    assert_eq!(health.observe(Observation::Shed, now), [limited(2)]);
    let mut changes = Vec::new();
    for second in [2, 4, 6, 8] {
        let due = now + SECOND * second;
        assert_eq!(health.next_tick(), Some(due));
        changes.extend(health.observe(Observation::Tick, due));
        let slots = (2 + second / 2).min(4);
        health.observe(Observation::Slots { running: 1, slots }, due);
    }
    let full = HealthChange::CapacityLimit(CapacityLimit::AllSlots);
    assert_eq!(changes, [limited(3), limited(4), limited(5), full]);
    let mut failed = ready(now);
    failed.observe(Observation::Shed, now);
    observe_times(&mut failed, Observation::Failed, 4, now);
    let later = now + 2 * SECOND;
    let probe = HealthChange::CapacityLimit(CapacityLimit::Probe(1));
    assert_eq!(failed.observe(Observation::Tick, later), [probe]);
    observe_times(&mut failed, ANSWERED, 3, later);
    assert_eq!(failed.next_tick(), None);
}
