//! The caller's decision after a request has ended: finish, follow a redirect, or try again.
//!
//! A request is tried again if its outcome says that it was not run, or if it may be repeated. The
//! retries of a caller are a bounded fraction of its successes, so they can't multiply an overload.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::errors::{Error, Result};
use crate::request::{NotRunReason, Outcome, Reservation};

/// Ten successes at a ratio of 0.1 add up to slightly less than one.
const ROUNDING: f64 = 1e-9;

/// The settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryOptions {
    /// The retries earned by one success, 0 to 1.
    pub budget_ratio: f64,
    /// The retries that a caller holds at most, and has at its start.
    pub budget_max: f64,
    /// The attempts of one request at most, redirects not counted.
    pub attempts_max: u32,
    /// The redirects that one request follows at most.
    pub redirects_max: u32,
    /// The longest wait before the second attempt; it doubles with each attempt.
    pub backoff_initial: Duration,
    /// The longest wait before any attempt.
    pub backoff_max: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            budget_ratio: 0.1,
            budget_max: 10.0,
            attempts_max: 4,
            redirects_max: 3,
            backoff_initial: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}

impl RetryOptions {
    /// Returns the settings after a check of their ranges.
    pub fn try_new(self) -> Result<Self> {
        if !(0.0..=1.0).contains(&self.budget_ratio) {
            return Err(Error::setting("retry budget ratio", "0 to 1"));
        }
        if !(0.0..=1e6).contains(&self.budget_max) {
            return Err(Error::setting("retry budget", "0 to 1000000"));
        }
        if self.attempts_max == 0 {
            return Err(Error::setting("attempts", "at least 1"));
        }
        Ok(self)
    }
}

/// The retries that a caller may still make, shared by all its requests to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    ratio: f64,
    max: f64,
    balance: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub const fn new(options: &RetryOptions) -> Self {
        Self {
            ratio: options.budget_ratio,
            max: options.budget_max,
            balance: options.budget_max,
        }
    }

    /// Returns the retries that may be made now.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max);
    }

    fn try_spend(&mut self) -> bool {
        let has_one = self.balance >= 1.0 - ROUNDING;
        if has_one {
            self.balance = (self.balance - 1.0).max(0.0);
        }
        has_one
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult<'a> {
    /// The outcome.
    pub outcome: &'a Outcome,
    /// The target that gave it.
    pub target: SocketAddrV4,
    /// How many targets the service has, as far as the caller knows.
    pub target_count: usize,
}

/// What the caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The outcome is final.
    Finish,
    /// Send the request again at this time, to a target that was not tried.
    RetryAt(Instant),
    /// Send the request to the peer that holds a slot for it.
    FollowRedirect(Reservation),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct RetryState {
    options: RetryOptions,
    is_repeatable: bool,
    deadline: Instant,
    attempts: u32,
    redirects: u32,
    tried_targets: Vec<SocketAddrV4>,
}

impl RetryState {
    /// Returns the state of a request before its first attempt.
    ///
    /// `is_repeatable` says whether the class of the request allows a second run.
    pub const fn new(options: RetryOptions, is_repeatable: bool, deadline: Instant) -> Self {
        Self {
            options,
            is_repeatable,
            deadline,
            attempts: 0,
            redirects: 0,
            tried_targets: Vec::new(),
        }
    }

    /// Returns the targets that were tried; the next attempt goes elsewhere.
    pub fn tried_targets(&self) -> &[SocketAddrV4] {
        &self.tried_targets
    }

    /// Returns the number of attempts that have ended, redirects not counted.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Decides after an attempt ended.
    pub fn decide<R: Rng>(
        &mut self,
        result: AttemptResult<'_>,
        budget: &mut RetryBudget,
        rng: &mut R,
        now: Instant,
    ) -> RetryDecision {
        let AttemptResult {
            outcome,
            target,
            target_count,
        } = result;
        self.note_target(target);
        if *outcome == Outcome::Done {
            budget.earn();
            return RetryDecision::Finish;
        }
        if let Some(reservation) = self.follow(outcome, now) {
            return RetryDecision::FollowRedirect(reservation);
        }
        self.attempts += 1;
        if !self.may_retry(outcome) || target_count <= self.tried_targets.len() {
            return RetryDecision::Finish;
        }
        let at = now + self.backoff(rng);
        if at >= self.deadline {
            return RetryDecision::Finish;
        }
        if is_free(outcome) || budget.try_spend() {
            RetryDecision::RetryAt(at)
        } else {
            RetryDecision::Finish
        }
    }

    fn note_target(&mut self, target: SocketAddrV4) {
        if !self.tried_targets.contains(&target) {
            self.tried_targets.push(target);
        }
    }

    /// Returns the redirect to follow; one over the bound counts as any other "not run".
    fn follow(&mut self, outcome: &Outcome, now: Instant) -> Option<Reservation> {
        let Outcome::Redirect(reservation) = outcome else {
            return None;
        };
        if self.redirects >= self.options.redirects_max || now >= self.deadline {
            return None;
        }
        self.redirects += 1;
        Some(*reservation)
    }

    fn may_retry(&self, outcome: &Outcome) -> bool {
        if self.attempts >= self.options.attempts_max {
            return false;
        }
        match outcome {
            Outcome::NotRun(reason) => helps_elsewhere(*reason),
            Outcome::Redirect(_) => true,
            Outcome::Failed | Outcome::Unknown => self.is_repeatable,
            _ => false,
        }
    }

    /// Returns a random wait up to a bound that doubles with each attempt.
    fn backoff<R: Rng>(&self, rng: &mut R) -> Duration {
        let doublings = self.attempts.saturating_sub(1).min(16);
        let bound = self.options.backoff_initial.saturating_mul(1 << doublings);
        bound
            .min(self.options.backoff_max)
            .mul_f64(rng.random::<f64>())
    }
}

/// Returns whether a retry costs no budget.
///
/// A draining target says nothing about load, and each request meets it once at most. With cost,
/// a drain that balancers don't know of used up the budget of callers.
const fn is_free(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun(NotRunReason::Draining))
}

/// Returns whether another target may run what this one refused.
const fn helps_elsewhere(reason: NotRunReason) -> bool {
    !matches!(reason, NotRunReason::Cancelled | NotRunReason::Invalid)
}
