//! The state of the stand-in backend server.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cranberrypitch_agent::backend::{BackendLoad, BackendState};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::faults::Faults;
use super::journal::{Journal, RunOutcome, RunRecord};
use super::options::{BackendOptions, ServiceTime};
use super::requests::{Registration, RequestRegistry};

/// The state that all connections share.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) options: BackendOptions,
    pub(crate) faults: watch::Sender<Faults>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) requests: Arc<RequestRegistry>,
    pub(crate) slots: Arc<Semaphore>,
    started_at: Instant,
    is_draining: AtomicBool,
    connections: AtomicU32,
    rng: Mutex<Pcg64>,
    health: Mutex<Option<CachedValue<BackendState>>>,
    load: Mutex<Option<CachedValue<BackendLoad>>>,
    tasks: Mutex<JoinSet<()>>,
}

/// A value that an endpoint reports until it is too old.
#[derive(Clone, Copy, Debug)]
struct CachedValue<T> {
    cached_at: Instant,
    value: T,
}

/// A running request, which holds a slot.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) registration: Registration,
    pub(crate) record: RunRecord,
    pub(crate) permit: OwnedSemaphorePermit,
}

/// An open connection, which is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    server: Arc<Server>,
    pub(crate) is_over_limit: bool,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.server.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    pub(crate) fn new(options: BackendOptions) -> Self {
        let slots = usize::try_from(options.slots.get()).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            faults: watch::Sender::new(options.faults.clone()),
            journal: Arc::default(),
            requests: Arc::default(),
            slots: Arc::new(Semaphore::new(slots)),
            started_at: Instant::now(),
            is_draining: AtomicBool::new(false),
            connections: AtomicU32::new(0),
            rng: Mutex::new(Pcg64::seed_from_u64(options.seed)),
            health: Mutex::default(),
            load: Mutex::default(),
            tasks: Mutex::default(),
            options,
        }
    }

    /// Counts a new connection.
    pub(crate) fn open_connection(self: &Arc<Self>) -> OpenConnection {
        let other_connections = self.connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection {
            server: Arc::clone(self),
            is_over_limit: other_connections >= self.options.connection_limit.get(),
        }
    }

    /// Waits until the fault [`Faults::is_frozen`] is off.
    pub(crate) async fn wait_until_unfrozen(&self) {
        let mut faults = self.faults.subscribe();
        // This can't fail, since the sender is a field of this server.
        let _result = faults.wait_for(|faults| !faults.is_frozen).await;
    }

    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    fn is_cold(&self) -> bool {
        self.started_at.elapsed() < self.options.cold_start
    }

    /// Returns true with the given probability. Probability 0 draws no random number.
    pub(crate) fn draw_bool(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.rng).random_bool(probability.min(1.0))
    }

    /// Draws the service time of a run that starts now.
    pub(crate) fn draw_service_time(&self) -> Duration {
        let time = match self.options.service_time {
            ServiceTime::Fixed(time) => time,
            ServiceTime::Exponential(mean) => {
                let uniform: f64 = lock(&self.rng).random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        };
        if self.is_cold() {
            time.mul_f64(self.options.cold_start_factor)
        } else {
            time
        }
    }

    fn actual_state(&self) -> BackendState {
        if self.is_draining() {
            BackendState::Draining
        } else if self.is_cold() {
            BackendState::Starting
        } else {
            BackendState::Ready
        }
    }

    pub(crate) fn actual_load(&self) -> BackendLoad {
        let (waiting, running) = self.requests.counts();
        BackendLoad {
            slots: self.options.slots.get(),
            running,
            waiting,
            connections: self.connections.load(Ordering::Relaxed),
        }
    }

    /// Returns the state that the health endpoint reports.
    pub(crate) fn reported_state(&self) -> BackendState {
        let (reported, max_age) = {
            let faults = self.faults.borrow();
            (faults.reported_state, faults.max_health_age)
        };
        reported.unwrap_or_else(|| cached_or_current(&self.health, max_age, || self.actual_state()))
    }

    /// Returns the load that the load endpoint reports.
    pub(crate) fn reported_load(&self) -> BackendLoad {
        let (reported, max_age) = {
            let faults = self.faults.borrow();
            (faults.reported_load, faults.max_load_age)
        };
        reported.unwrap_or_else(|| cached_or_current(&self.load, max_age, || self.actual_load()))
    }

    /// Executes a run in a task of its own, so that the loss of its connection doesn't stop it.
    pub(crate) fn spawn_run(
        &self,
        run: Run,
        service_time: Duration,
    ) -> oneshot::Receiver<RunOutcome> {
        let (sender, outcome) = oneshot::channel();
        let fails = self.draw_bool(self.faults.borrow().fail_rate);
        self.spawn_task(async move {
            let outcome = run.execute(service_time, fails).await;
            // The receiver is dropped if the connection is lost. The journal has the outcome.
            let _result = sender.send(outcome);
        });
        outcome
    }

    /// Starts a task that is aborted when the server is killed.
    pub(crate) fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    pub(crate) fn abort_tasks(&self) {
        lock(&self.tasks).abort_all();
    }
}

impl Run {
    async fn execute(self, service_time: Duration, fails: bool) -> RunOutcome {
        tokio::select! {
            () = self.registration.cancelled() => {}
            () = sleep(service_time) => {}
        }
        let outcome = match (self.registration.finish(), fails) {
            (false, _) => RunOutcome::Cancelled,
            (true, true) => RunOutcome::Failed,
            (true, false) => RunOutcome::Done,
        };
        self.record.finish(outcome);
        drop(self.permit);
        outcome
    }
}

/// Returns the cached value, or replaces it by the current one if it is at least `max_age` old.
fn cached_or_current<T: Copy>(
    cache: &Mutex<Option<CachedValue<T>>>,
    max_age: Duration,
    current: impl FnOnce() -> T,
) -> T {
    let mut cache = lock(cache);
    let now = Instant::now();
    match &*cache {
        Some(cached) if now - cached.cached_at < max_age => cached.value,
        _ => {
            let value = current();
            *cache = Some(CachedValue {
                cached_at: now,
                value,
            });
            value
        }
    }
}
