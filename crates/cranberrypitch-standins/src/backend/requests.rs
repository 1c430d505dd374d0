//! Registry of the requests that wait or run, by request id.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cranberrypitch_agent::backend::CancelState;
use cranberrypitch_core::FastMap;
use tokio::sync::Notify;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Running,
    Cancelled,
}

#[derive(Debug)]
struct RequestEntry {
    stage: Stage,
    cancelled: Arc<Notify>,
}

/// The requests that wait or run, by request id.
#[derive(Debug, Default)]
pub(crate) struct RequestRegistry(Mutex<FastMap<Box<str>, RequestEntry>>);

impl RequestRegistry {
    fn lock(&self) -> MutexGuard<'_, FastMap<Box<str>, RequestEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a waiting request, or returns `None` if its id is in use.
    pub(crate) fn register(self: &Arc<Self>, id: &str) -> Option<Registration> {
        let mut entries = self.lock();
        if entries.contains_key(id) {
            return None;
        }
        let cancelled = Arc::new(Notify::new());
        let entry = RequestEntry {
            stage: Stage::Waiting,
            cancelled: Arc::clone(&cancelled),
        };
        entries.insert(id.into(), entry);
        Some(Registration {
            requests: Arc::clone(self),
            id: id.into(),
            cancelled,
        })
    }

    /// Cancels a request.
    ///
    /// A waiting request that is cancelled can't start later, since the lock serialises both
    /// transitions.
    pub(crate) fn cancel(&self, id: &str) -> CancelState {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(id) else {
            return CancelState::Absent;
        };
        let state = match entry.stage {
            Stage::Waiting => CancelState::Withdrawn,
            Stage::Running => CancelState::Stopped,
            Stage::Cancelled => return CancelState::Absent,
        };
        entry.stage = Stage::Cancelled;
        entry.cancelled.notify_one();
        state
    }

    /// Returns the number of waiting and of running requests.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let entries = self.lock();
        let count = |stage| entries.values().filter(|e| e.stage == stage).count();
        let saturated = |count| u32::try_from(count).unwrap_or(u32::MAX);
        (
            saturated(count(Stage::Waiting)),
            saturated(count(Stage::Running)),
        )
    }
}

/// The registration of a request, which ends on drop.
#[derive(Debug)]
pub(crate) struct Registration {
    requests: Arc<RequestRegistry>,
    id: Box<str>,
    cancelled: Arc<Notify>,
}

impl Registration {
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Marks the request as running. Returns false if it was cancelled before.
    pub(crate) fn start(&self) -> bool {
        let mut entries = self.requests.lock();
        match entries.get_mut(&self.id) {
            Some(entry) if entry.stage == Stage::Waiting => {
                entry.stage = Stage::Running;
                true
            }
            _ => false,
        }
    }

    /// Removes the request. Returns false if it was cancelled before.
    pub(crate) fn finish(&self) -> bool {
        let removed = self.requests.lock().remove(&self.id);
        removed.is_some_and(|entry| entry.stage == Stage::Running)
    }

    /// Waits until the request is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut entries = self.requests.lock();
        let is_own = |entry: &RequestEntry| Arc::ptr_eq(&entry.cancelled, &self.cancelled);
        if entries.get(&self.id).is_some_and(is_own) {
            entries.remove(&self.id);
        }
    }
}
