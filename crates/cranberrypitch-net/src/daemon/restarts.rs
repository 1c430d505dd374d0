//! Log lines about restarted actors.

use std::sync::{Arc, Mutex, PoisonError};

use crate::events::Event;

/// Carries the failure of an actor over to its next run, which logs the restart. Clones share it.
#[derive(Clone, Debug)]
pub struct RestartLog {
    actor: &'static str,
    failure: Arc<Mutex<Option<Box<str>>>>,
}

impl RestartLog {
    /// Returns the log of an actor that has not failed yet.
    pub fn new(actor: &'static str) -> Self {
        Self {
            actor,
            failure: Arc::default(),
        }
    }

    /// Notes that the actor fails.
    pub fn record_failure(&self, error: &impl ToString) {
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        *failure = Some(error.to_string().into());
    }

    /// Logs a restart if the actor has failed before. Called whenever the actor starts.
    pub fn record_start(&self) {
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(error) = failure.take() {
            let actor = self.actor;
            Event::ActorRestarted { actor, error }.log();
        }
    }
}
