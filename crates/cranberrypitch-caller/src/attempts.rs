//! The attempts of one request, with the retry decisions of the core and the delays between them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::retry::{
    AttemptResult, RetryBudget, RetryDecision, RetryOptions, RetryState,
};
use cranberrypitch_core::{Clock, NotRunReason, Outcome, Reservation};

/// The retry budget that all requests of a caller share.
#[derive(Clone, Debug)]
pub(crate) struct SharedRetryBudget {
    options: RetryOptions,
    budget: Arc<Mutex<RetryBudget>>,
}

impl SharedRetryBudget {
    pub(crate) fn new(options: RetryOptions) -> Self {
        let budget = Arc::new(Mutex::new(RetryBudget::new(&options)));
        Self { options, budget }
    }
}

/// The step that follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// The outcome is final.
    Finish,
    /// Another attempt, which is sent to the agent of the reservation if there is one.
    Attempt(Option<Reservation>),
}

/// The state of the attempts of one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    state: RetryState,
    shared_budget: SharedRetryBudget,
    clock: Arc<dyn Clock>,
    deadline: Instant,
    count: u32,
}

impl Attempts {
    pub(crate) fn start(
        shared_budget: &SharedRetryBudget,
        clock: &Arc<dyn Clock>,
        is_repeatable: bool,
        deadline: Duration,
    ) -> Self {
        let deadline = clock.now() + deadline;
        Self {
            state: RetryState::new(shared_budget.options, is_repeatable, deadline),
            shared_budget: shared_budget.clone(),
            clock: Arc::clone(clock),
            deadline,
            count: 0,
        }
    }

    pub(crate) const fn count(&self) -> u32 {
        self.count
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(self.clock.now())
    }

    /// Decides whether to retry after an attempt, and waits until the next attempt is due.
    pub(crate) async fn next_after(&mut self, outcome: &Outcome) -> NextStep {
        self.count += 1;
        match self.decide(outcome) {
            RetryDecision::Finish => NextStep::Finish,
            RetryDecision::FollowRedirect(reservation) => NextStep::Attempt(Some(reservation)),
            RetryDecision::RetryAt(at) => {
                let wait = at.saturating_duration_since(self.clock.now());
                tokio::time::sleep(wait).await;
                NextStep::Attempt(None)
            }
        }
    }

    /// Decides after an attempt that failed before its request could run.
    pub(crate) async fn next_after_unsent(&mut self) -> NextStep {
        self.next_after(&Outcome::NotRun(NotRunReason::BackendUnavailable))
            .await
    }

    fn decide(&mut self, outcome: &Outcome) -> RetryDecision {
        let result = AttemptResult {
            outcome,
            target: self.placeholder_target(),
            target_count: usize::MAX,
        };
        let mut budget = self
            .shared_budget
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.state
            .decide(result, &mut budget, &mut rand::rng(), self.clock.now())
    }

    /// Returns a distinct placeholder for the target of the last attempt. A caller can't see its
    /// targets; balancers route a new connection to a target with free capacity.
    fn placeholder_target(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.count), 0)
    }
}
