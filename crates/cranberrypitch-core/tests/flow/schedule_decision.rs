//! Which waiting request a target gets next, and which ones are given up.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    FairTurns, RequestKind, RequestLimits, TargetCapacity, WaitingRequest,
};

const CAPACITY: TargetCapacity = TargetCapacity {
    service_time: Duration::from_millis(40),
    slots: 2,
    min_syn_wait: Duration::from_millis(400),
    syn_wait_limit: Some(Duration::from_millis(400)),
    admits_flows: true,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiting(kind: RequestKind, priority: u8, caller: u8, arrived_at: Instant) -> WaitingRequest {
    WaitingRequest {
        kind,
        priority,
        limits: RequestLimits {
            latency_objective: ms(300),
            timeout: ms(3000),
        },
        caller: Ipv4Addr::new(100, 64, 0, caller),
        arrived_at,
    }
}

/// A lower priority got no turn while requests of a higher one waited.
#[test]
fn lower_priority_gets_one_turn_in_five() {
    let now = Instant::now();
    let mut turns = FairTurns::default();
    let requests = [1, 2, 7].map(|priority| waiting(RequestKind::OpenFlow, priority, 1, now));
    let two = &requests[..2];
    let mut served = [0; 2];
    for _ in 0..20 {
        let next = turns.next(two, &CAPACITY, now).unwrap();
        turns.on_turn(two[next].priority);
        served[next] += 1;
    }
    assert_eq!(served, [16, 4]);
    let mut served = [0; 3];
    for _ in 0..42 {
        let next = turns.next(&requests, &CAPACITY, now).unwrap();
        turns.on_turn(requests[next].priority);
        served[next] += 1;
    }
    assert_eq!(served, [32, 8, 2]);
}

/// A priority that has not waited for long must not take all turns when it does.
#[test]
fn priority_saves_up_no_turns_while_it_does_not_wait() {
    let now = Instant::now();
    let mut turns = FairTurns::default();
    let requests = [1, 2].map(|priority| waiting(RequestKind::OpenFlow, priority, 1, now));
    for _ in 0..100 {
        assert_eq!(turns.next(&requests[..1], &CAPACITY, now), Some(0));
        turns.on_turn(1);
    }
    let lower = (0..10).filter(|_| {
        let next = turns.next(&requests, &CAPACITY, now).unwrap();
        turns.on_turn(requests[next].priority);
        next == 1
    });
    assert_eq!(lower.count(), 2);
}

/// A request that is late anyway took the slot of one that could still be answered in time.
#[test]
fn request_that_can_be_in_time_goes_first() {
    let now = Instant::now();
    let later = now + ms(250);
    let late = waiting(RequestKind::OpenFlow, 0, 1, now);
    let in_time = waiting(RequestKind::OpenFlow, 3, 2, now + ms(50));
    let mut turns = FairTurns::default();
    assert_eq!(turns.next(&[late, in_time], &CAPACITY, later), Some(1));
    assert_eq!(turns.next(&[late], &CAPACITY, later), Some(0));
}

/// An objective shorter than the target's response time would put a route behind all others for good.
#[test]
fn objective_that_can_not_be_met_does_not_starve_a_route() {
    let now = Instant::now();
    let mut strict = waiting(RequestKind::OpenFlow, 1, 1, now);
    strict.limits.latency_objective = ms(30);
    let other = waiting(RequestKind::OpenFlow, 2, 2, now);
    let next = FairTurns::default().next(&[strict, other], &CAPACITY, now + ms(50));
    assert_eq!(next, Some(0));
}

/// One caller with many requests took the slots of the others.
#[test]
fn caller_with_the_fewest_recent_requests_goes_first() {
    let now = Instant::now();
    let mut turns = FairTurns::default();
    turns.on_passed(Ipv4Addr::new(100, 64, 0, 1), now);
    let requests = [2, 1].map(|caller| waiting(RequestKind::OpenFlow, 1, caller, now));
    assert_eq!(turns.next(&requests, &CAPACITY, now), Some(0));
    // After a second the request no longer counts, and the newest goes first.
    assert_eq!(turns.next(&requests, &CAPACITY, now + ms(1000)), Some(1));
}

/// A SYN waited for 400 ms although its turn could not come before.
#[test]
fn syn_that_would_wait_too_long_is_refused_at_once() {
    let now = Instant::now();
    let syns = [waiting(RequestKind::Syn, 1, 1, now); 30];
    let given_up = FairTurns::default().given_up(&syns, &CAPACITY, now);
    // A turn comes every 20 ms, to the newest first, so the last of 20 is within 400 ms.
    assert_eq!(given_up, (0..10).collect::<Vec<_>>());
}

/// A SYN whose route has a short timeout waited beyond it.
#[test]
fn syn_that_would_miss_its_timeout_is_refused_at_once() {
    let now = Instant::now();
    let mut syn = waiting(RequestKind::Syn, 1, 1, now);
    syn.limits.timeout = ms(200);
    let given_up = FairTurns::default().given_up(&[syn; 10], &CAPACITY, now);
    assert_eq!(given_up, [0, 1, 2, 3]);
}

/// The service time is unknown after the agent's start; nothing is refused on a guess.
#[test]
fn nothing_is_given_up_early_while_the_service_time_is_unknown() {
    let now = Instant::now();
    let capacity = TargetCapacity {
        service_time: Duration::ZERO,
        ..CAPACITY
    };
    let syns = [waiting(RequestKind::Syn, 1, 1, now); 256];
    let mut turns = FairTurns::default();
    assert_eq!(turns.given_up(&syns, &capacity, now + ms(399)), [0; 0]);
    assert_eq!(turns.given_up(&syns, &capacity, now + ms(400)).len(), 256);
}

/// Callers whose timeout leaves time for a long wait were refused after 400 ms, and used up their attempts
/// within a second.
#[test]
fn syn_waits_for_a_third_of_the_timeout_of_its_route() {
    let now = Instant::now();
    let capacity = TargetCapacity {
        service_time: Duration::ZERO,
        syn_wait_limit: None,
        ..CAPACITY
    };
    let wait_of = |timeout_ms| {
        let mut syn = waiting(RequestKind::Syn, 1, 1, now);
        syn.limits.timeout = ms(timeout_ms);
        let is_refused = |wait: &u64| {
            let given_up = FairTurns::default().given_up(&[syn], &capacity, now + ms(*wait));
            !given_up.is_empty()
        };
        (0..1500).step_by(100).find(is_refused)
    };
    assert_eq!(
        [900, 3000, 10_000].map(wait_of),
        [Some(400), Some(1000), Some(1200)]
    );
}
