//! The journal of the requests that ran.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use cranberrypitch_core::RequestClass;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunOutcome {
    /// The run has not ended.
    Running,
    /// The run succeeded.
    Done,
    /// The run ended with an error.
    Failed,
    /// The run was cancelled.
    Cancelled,
    /// The server was killed, or the connection was lost, during the run.
    Interrupted,
}

/// One run of a request. A request or an order key that runs twice has two entries.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The id from the header `x-request-id`.
    pub request_id: Box<str>,
    /// The class of the request.
    pub class: RequestClass,
    /// The key of an order; `None` for other classes.
    pub order_key: Option<Box<str>>,
    /// The organisation from the header `x-tenant`.
    #[serde(rename = "tenant")]
    pub organisation: Box<str>,
    /// The time at which the run started.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[serde(rename = "started_ms")]
    pub started_at: SystemTime,
    /// The time at which the run ended, or `None` while it runs.
    #[serde_as(as = "Option<TimestampMilliSeconds<i64>>")]
    #[serde(rename = "finished_ms")]
    pub finished_at: Option<SystemTime>,
    /// The result of the run.
    pub outcome: RunOutcome,
}

/// All runs of one server. It is not bounded, since an evicted entry could hide a request that ran
/// twice.
#[derive(Debug, Default)]
pub(crate) struct Journal(Mutex<Vec<JournalEntry>>);

impl Journal {
    fn lock(&self) -> MutexGuard<'_, Vec<JournalEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn entries(&self) -> Vec<JournalEntry> {
        self.lock().clone()
    }

    /// Adds an entry for a run that starts.
    pub(crate) fn start(
        self: &Arc<Self>,
        class: RequestClass,
        request_id: Box<str>,
        organisation: Box<str>,
        order_key: Option<Box<str>>,
    ) -> RunRecord {
        let mut entries = self.lock();
        entries.push(JournalEntry {
            request_id,
            class,
            order_key,
            organisation,
            started_at: SystemTime::now(),
            finished_at: None,
            outcome: RunOutcome::Running,
        });
        RunRecord {
            journal: Arc::clone(self),
            index: entries.len() - 1,
        }
    }
}

/// The journal entry of a run. A drop before the end of the run marks the entry as interrupted.
#[derive(Debug)]
pub(crate) struct RunRecord {
    journal: Arc<Journal>,
    index: usize,
}

impl RunRecord {
    /// Records the end of the run. Only the first call has an effect.
    pub(crate) fn finish(&self, outcome: RunOutcome) {
        let entry = &mut self.journal.lock()[self.index];
        if entry.outcome == RunOutcome::Running {
            entry.outcome = outcome;
            entry.finished_at = Some(SystemTime::now());
        }
    }
}

impl Drop for RunRecord {
    fn drop(&mut self) {
        self.finish(RunOutcome::Interrupted);
    }
}
