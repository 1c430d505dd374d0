//! The journal of what truly ran.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use cranberrypitch_core::RequestClass;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunOutcome {
    /// It has not ended.
    Running,
    /// It ran to its end.
    Done,
    /// It ran and ended with an error.
    Failed,
    /// It was cancelled while it ran.
    Cancelled,
    /// The server was killed or the connection was lost while it ran.
    Interrupted,
}

/// One run. A request or an order key that ran twice has two entries.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The id of the request, as its header gave it.
    pub request_id: Box<str>,
    /// The class of the request.
    pub class: RequestClass,
    /// The key in the body of an order.
    pub order_key: Option<Box<str>>,
    /// The organisation, as its header gave it.
    #[serde(rename = "tenant")]
    pub organisation: Box<str>,
    /// When the run started.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[serde(rename = "started_ms")]
    pub started_at: SystemTime,
    /// When the run ended.
    #[serde_as(as = "Option<TimestampMilliSeconds<i64>>")]
    #[serde(rename = "finished_ms")]
    pub finished_at: Option<SystemTime>,
    /// How the run ended.
    pub outcome: RunOutcome,
}

/// All runs of one server. It grows without bound, since a dropped entry could hide a double run.
#[derive(Debug, Default)]
pub(crate) struct Journal(Mutex<Vec<JournalEntry>>);

impl Journal {
    fn lock(&self) -> MutexGuard<'_, Vec<JournalEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn entries(&self) -> Vec<JournalEntry> {
        self.lock().clone()
    }

    /// Enters the start of a run.
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

/// The entry of a run. It is marked as interrupted when this is dropped before the run has ended.
#[derive(Debug)]
pub(crate) struct RunRecord {
    journal: Arc<Journal>,
    index: usize,
}

impl RunRecord {
    /// Enters the end of the run; only the first call has an effect.
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
