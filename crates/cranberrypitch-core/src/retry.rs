//! The caller's decision after an attempt: finish, follow a redirect, or retry.
//!
//! A request is retried if its outcome states that it was not run, or if its class may be run again.
//! A retry budget bounds the retries of a caller to a fraction of its successes, so that retries
//! can't amplify an overload.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::errors::{Error, Result};
use crate::request::{NotRunReason, Outcome, Reservation};

/// The tolerance for rounding: ten successes at a ratio of 0.1 add up to slightly less than one.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The settings of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryOptions {
    /// The number of retries that one success adds to the budget, 0 to 1.
    pub budget_ratio: f64,
    /// The initial and maximum budget, in retries.
    pub budget_max: f64,
    /// The maximum number of attempts of one request, not counting followed redirects.
    pub attempts_max: u32,
    /// The maximum number of redirects that one request follows.
    pub redirects_max: u32,
    /// The upper bound of the random wait before the second attempt; it doubles with each attempt.
    pub backoff_initial: Duration,
    /// The upper bound of the random wait before any attempt.
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
    /// Returns the settings, or [`Error::SettingOutOfRange`] for the first one that is out of range.
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

/// The retries that a caller may still make. All its requests to a service share one budget.
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

    /// Returns the number of retries that may be made now.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max);
    }

    fn try_spend(&mut self) -> bool {
        let has_one = self.balance >= 1.0 - ROUNDING_TOLERANCE;
        if has_one {
            self.balance = (self.balance - 1.0).max(0.0);
        }
        has_one
    }
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult<'a> {
    /// The outcome of the attempt.
    pub outcome: &'a Outcome,
    /// The address of the target that was tried.
    pub target: SocketAddrV4,
    /// The number of targets of the service, or `usize::MAX` if it is unknown to the caller.
    pub target_count: usize,
}

/// The next step of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Return the outcome to the application.
    Finish,
    /// Send the request again at this time, to a target that has not been tried.
    RetryAt(Instant),
    /// Send the request to the target that has reserved a slot for it.
    FollowRedirect(Reservation),
}

/// The state of the attempts of one request.
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
    /// `is_repeatable` states whether the request may be run more than once.
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

    /// Returns the targets that have been tried. The next attempt should use another one.
    pub fn tried_targets(&self) -> &[SocketAddrV4] {
        &self.tried_targets
    }

    /// Returns the number of attempts that have ended, not counting followed redirects.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Decides how to continue after an attempt, and updates the budget.
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
        self.record_target(target);
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
        if is_exempt_from_budget(outcome) || budget.try_spend() {
            RetryDecision::RetryAt(at)
        } else {
            RetryDecision::Finish
        }
    }

    fn record_target(&mut self, target: SocketAddrV4) {
        if !self.tried_targets.contains(&target) {
            self.tried_targets.push(target);
        }
    }

    /// Returns the reservation of a redirect that is to be followed. A redirect beyond the maximum
    /// is treated as any other request that was not run.
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
            Outcome::NotRun(reason) => is_target_specific(*reason),
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

/// Returns whether a retry after this outcome is not deducted from the budget.
///
/// A refusal by a draining target does not indicate overload, and each request receives at most one
/// from the same target. If such retries were deducted, a drain that balancers have not learned of
/// would use up the budget of the callers.
const fn is_exempt_from_budget(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun(NotRunReason::Draining))
}

/// Returns whether another target might run a request that was refused for this reason.
const fn is_target_specific(reason: NotRunReason) -> bool {
    !matches!(reason, NotRunReason::Cancelled | NotRunReason::Invalid)
}
