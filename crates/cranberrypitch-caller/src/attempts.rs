//! The attempts of one request: the decisions of the core, with the waits between them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::retry::{
    AttemptResult, RetryBudget, RetryDecision, RetryOptions, RetryState,
};
use cranberrypitch_core::{Clock, NotRunReason, Outcome, Reservation};

/// The retries that all requests of a caller share.
#[derive(Clone, Debug)]
pub(crate) struct SharedBudget {
    options: RetryOptions,
    budget: Arc<Mutex<RetryBudget>>,
}

impl SharedBudget {
    pub(crate) fn new(options: RetryOptions) -> Self {
        let budget = Arc::new(Mutex::new(RetryBudget::new(&options)));
        Self { options, budget }
    }
}

/// What comes after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// The outcome is final.
    Finish,
    /// Another attempt, on a connection that leads to the peer if one holds a slot.
    Attempt(Option<Reservation>),
}

#[derive(Debug)]
pub(crate) struct Attempts {
    state: RetryState,
    shared: SharedBudget,
    clock: Arc<dyn Clock>,
    deadline: Instant,
    made: u32,
}

impl Attempts {
    pub(crate) fn start(
        shared: &SharedBudget,
        clock: &Arc<dyn Clock>,
        is_repeatable: bool,
        deadline: Duration,
    ) -> Self {
        let deadline = clock.now() + deadline;
        Self {
            state: RetryState::new(shared.options, is_repeatable, deadline),
            shared: shared.clone(),
            clock: Arc::clone(clock),
            deadline,
            made: 0,
        }
    }

    pub(crate) const fn made(&self) -> u32 {
        self.made
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(self.clock.now())
    }

    /// Decides after an attempt, and waits until the next one is due.
    pub(crate) async fn after(&mut self, outcome: &Outcome) -> Next {
        self.made += 1;
        match self.decide(outcome) {
            RetryDecision::Finish => Next::Finish,
            RetryDecision::FollowRedirect(reservation) => Next::Attempt(Some(reservation)),
            RetryDecision::RetryAt(at) => {
                let wait = at.saturating_duration_since(self.clock.now());
                tokio::time::sleep(wait).await;
                Next::Attempt(None)
            }
        }
    }

    /// Decides after an attempt that failed before anything of it could run.
    pub(crate) async fn after_unsent(&mut self) -> Next {
        self.after(&Outcome::NotRun(NotRunReason::BackendUnavailable))
            .await
    }

    fn decide(&mut self, outcome: &Outcome) -> RetryDecision {
        let end = AttemptResult {
            outcome,
            target: self.next_target(),
            target_count: usize::MAX,
        };
        let mut budget = self
            .shared
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.state
            .decide(end, &mut budget, &mut rand::rng(), self.clock.now())
    }

    /// Stands for the target of the last attempt. A caller does not know its targets; balancers
    /// see to it that a new connection goes to one with room.
    fn next_target(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.made), 0)
    }
}
