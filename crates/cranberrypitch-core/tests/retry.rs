//! Tests of the retries of a caller.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::retry::{
    AttemptResult, RetryBudget, RetryDecision, RetryOptions, RetryState,
};
use cranberrypitch_core::{NotRunReason, Outcome, Reservation};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND: Duration = Duration::from_secs(1);
const REFUSED: Outcome = Outcome::NotRun(NotRunReason::QueueFull);

struct Caller {
    state: RetryState,
    budget: RetryBudget,
    rng: StdRng,
    now: Instant,
}

impl Caller {
    fn new(options: RetryOptions, is_repeatable: bool) -> Self {
        let now = Instant::now();
        Self {
            state: RetryState::new(options, is_repeatable, now + 60 * SECOND),
            budget: RetryBudget::new(&options),
            rng: StdRng::seed_from_u64(1),
            now,
        }
    }

    fn decide(&mut self, outcome: &Outcome, port: u16) -> RetryDecision {
        let result = AttemptResult {
            outcome,
            target: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            target_count: 7,
        };
        self.state
            .decide(result, &mut self.budget, &mut self.rng, self.now)
    }

    fn retries(&mut self, outcome: &Outcome, port: u16) -> bool {
        matches!(self.decide(outcome, port), RetryDecision::RetryAt(_))
    }
}

/// Guards against retries that could run an order twice, and against retries that can't succeed.
#[test]
fn only_safe_and_useful_retries_are_made() {
    let cases = [
        (REFUSED, false, true),
        (Outcome::NotRun(NotRunReason::Draining), false, true),
        (Outcome::NotRun(NotRunReason::Invalid), true, false),
        (Outcome::NotRun(NotRunReason::Cancelled), true, false),
        (Outcome::Failed, false, false),
        (Outcome::Failed, true, true),
        (Outcome::Unknown, false, false),
        (Outcome::Unknown, true, true),
        (Outcome::StillRunning, true, false),
        (Outcome::Done, true, false),
    ];
    for (outcome, is_repeatable, expected) in cases {
        let mut caller = Caller::new(RetryOptions::default(), is_repeatable);
        assert_eq!(caller.retries(&outcome, 1), expected, "{outcome:?}");
    }
}

/// Guards against unbounded retries, of one request and of all requests together.
#[test]
fn attempts_targets_deadline_and_budget_bound_retries() {
    let mut caller = Caller::new(RetryOptions::default(), true);
    let made = (1..10)
        .filter(|port| caller.retries(&REFUSED, *port))
        .count();
    assert_eq!(made, 3);

    let many = RetryOptions {
        attempts_max: 1000,
        ..RetryOptions::default()
    };
    let mut caller = Caller::new(many, true);
    let made = (1..100)
        .filter(|port| caller.retries(&REFUSED, *port))
        .count();
    assert_eq!(made, 6);

    let mut late = Caller::new(many, true);
    late.now += 60 * SECOND;
    assert!(!late.retries(&REFUSED, 1));

    let mut poor = Caller::new(many, true);
    let made = (0..100).filter(|_| poor.retries(&REFUSED, 1)).count();
    assert_eq!(made, 10);
    for _ in 0..10 {
        poor.decide(&Outcome::Done, 1);
    }
    let made = (0..100).filter(|_| poor.retries(&REFUSED, 1)).count();
    assert_eq!(made, 1);
    assert!(poor.retries(&Outcome::NotRun(NotRunReason::Draining), 1));
}

/// Guards against redirects that are deducted from the budget, and against endless redirects.
#[test]
fn redirects_are_free_and_bounded() {
    let reservation = Reservation {
        agent: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        token: [0; 20],
        serial: 3,
    };
    let redirect = Outcome::Redirect(reservation);
    let mut caller = Caller::new(RetryOptions::default(), false);
    for port in 1..=3 {
        let decision = caller.decide(&redirect, port);
        assert_eq!(decision, RetryDecision::FollowRedirect(reservation));
    }
    assert!((caller.budget.balance() - 10.0).abs() < 1e-9);
    assert!(caller.retries(&redirect, 4));
    assert!(caller.budget.balance() < 10.0);
}

/// Guards against simultaneous retries of many callers.
#[test]
fn backoff_is_jittered_and_bounded() {
    let options = RetryOptions {
        attempts_max: 1000,
        budget_max: 1000.0,
        ..RetryOptions::default()
    };
    let mut caller = Caller::new(options, true);
    let mut waits = Vec::new();
    for _ in 0..50 {
        if let RetryDecision::RetryAt(at) = caller.decide(&REFUSED, 1) {
            waits.push(at - caller.now);
        }
    }
    assert!(waits[0] <= options.backoff_initial);
    assert!(waits.iter().all(|wait| *wait <= options.backoff_max));
    let long = waits.iter().filter(|wait| **wait > SECOND).count();
    assert!(
        (10..45).contains(&long),
        "{long} of 50 waits exceed one second"
    );
}
