//! Logging of actor restarts.

use std::sync::{Arc, Mutex, PoisonError};

use crate::events::Event;

/// Keeps the error of a failed actor until its next start, which logs the restart. Clones share the
/// error.
#[derive(Clone, Debug)]
pub struct RestartLog {
    actor: &'static str,
    failure: Arc<Mutex<Option<Box<str>>>>,
}

impl RestartLog {
    /// Returns a log for the named actor, without a recorded failure.
    pub fn new(actor: &'static str) -> Self {
        Self {
            actor,
            failure: Arc::default(),
        }
    }

    /// Records the error that the actor failed with.
    pub fn record_failure(&self, error: &impl ToString) {
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        *failure = Some(error.to_string().into());
    }

    /// Logs a restart if a failure is recorded, and clears it. Must be called whenever the actor
    /// starts.
    pub fn record_start(&self) {
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(error) = failure.take() {
            let actor = self.actor;
            Event::ActorRestarted { actor, error }.log();
        }
    }
}
