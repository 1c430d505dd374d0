//! The requests that wait or run, by their ids.

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
struct Entry {
    stage: Stage,
    cancelled: Arc<Notify>,
}

/// All requests that wait or run.
#[derive(Debug, Default)]
pub(crate) struct Requests(Mutex<FastMap<Box<str>, Entry>>);

impl Requests {
    fn lock(&self) -> MutexGuard<'_, FastMap<Box<str>, Entry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a request as waiting; fails when its id is in use.
    pub(crate) fn enter(self: &Arc<Self>, id: &str) -> Option<Registration> {
        let mut entries = self.lock();
        if entries.contains_key(id) {
            return None;
        }
        let cancelled = Arc::new(Notify::new());
        let entry = Entry {
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
    /// A waiting request that is cancelled here can't start afterwards, as both happen under the
    /// lock.
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

    /// Returns how many requests wait and how many run.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let entries = self.lock();
        let count = |stage| entries.values().filter(|e| e.stage == stage).count();
        let bounded = |count| u32::try_from(count).unwrap_or(u32::MAX);
        (
            bounded(count(Stage::Waiting)),
            bounded(count(Stage::Running)),
        )
    }
}

/// The entry of one request, removed when this is dropped.
#[derive(Debug)]
pub(crate) struct Registration {
    requests: Arc<Requests>,
    id: Box<str>,
    cancelled: Arc<Notify>,
}

impl Registration {
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Marks the request as running, unless it has been cancelled.
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

    /// Ends the request, and returns whether it was not cancelled before.
    pub(crate) fn end(&self) -> bool {
        let ended = self.requests.lock().remove(&self.id);
        ended.is_some_and(|entry| entry.stage == Stage::Running)
    }

    /// Waits until the request is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut entries = self.requests.lock();
        let is_own = |entry: &Entry| Arc::ptr_eq(&entry.cancelled, &self.cancelled);
        if entries.get(&self.id).is_some_and(is_own) {
            entries.remove(&self.id);
        }
    }
}
