//! The state of a backend server.

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
use super::requests::{Registration, Requests};

/// The state that all connections share.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) options: BackendOptions,
    pub(crate) faults: watch::Sender<Faults>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) requests: Arc<Requests>,
    pub(crate) slots: Arc<Semaphore>,
    started: Instant,
    is_draining: AtomicBool,
    connections: AtomicU32,
    random: Mutex<Pcg64>,
    health: Mutex<Option<Sample<BackendState>>>,
    load: Mutex<Option<Sample<BackendLoad>>>,
    runs: Mutex<JoinSet<()>>,
}

/// What an endpoint last saw.
#[derive(Clone, Copy, Debug)]
struct Sample<T> {
    taken: Instant,
    value: T,
}

/// A request that holds a slot and runs.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) registration: Registration,
    pub(crate) record: RunRecord,
    pub(crate) permit: OwnedSemaphorePermit,
}

/// An open connection, counted until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    server: Arc<Server>,
    pub(crate) is_excess: bool,
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
            started: Instant::now(),
            is_draining: AtomicBool::new(false),
            connections: AtomicU32::new(0),
            random: Mutex::new(Pcg64::seed_from_u64(options.seed)),
            health: Mutex::default(),
            load: Mutex::default(),
            runs: Mutex::default(),
            options,
        }
    }

    pub(crate) fn open_connection(self: &Arc<Self>) -> OpenConnection {
        let others = self.connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection {
            server: Arc::clone(self),
            is_excess: others >= self.options.connections.get(),
        }
    }

    /// Waits until the server is not frozen.
    pub(crate) async fn thawed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as this server, so this can't fail.
        let _thawed = faults.wait_for(|faults| !faults.is_frozen).await;
    }

    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.options.cold_start
    }

    /// Draws whether something with the given share happens.
    pub(crate) fn happens(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.random).random_bool(share.min(1.0))
    }

    /// Draws the time that a run takes from now on.
    pub(crate) fn draw_service_time(&self) -> Duration {
        let time = match self.options.service_time {
            ServiceTime::Fixed(time) => time,
            ServiceTime::Exponential(mean) => {
                let uniform: f64 = lock(&self.random).random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        };
        if self.is_cold() {
            time.mul_f64(self.options.cold_start_factor)
        } else {
            time
        }
    }

    fn true_state(&self) -> BackendState {
        if self.is_draining() {
            BackendState::Draining
        } else if self.is_cold() {
            BackendState::Starting
        } else {
            BackendState::Ready
        }
    }

    pub(crate) fn true_load(&self) -> BackendLoad {
        let (waiting, running) = self.requests.counts();
        BackendLoad {
            slots: self.options.slots.get(),
            running,
            waiting,
            connections: self.connections.load(Ordering::Relaxed),
        }
    }

    /// Returns what the health endpoint claims.
    pub(crate) fn claimed_state(&self) -> BackendState {
        let (claim, lag) = {
            let faults = self.faults.borrow();
            (faults.reported_state, faults.max_health_age)
        };
        claim.unwrap_or_else(|| sampled(&self.health, lag, || self.true_state()))
    }

    /// Returns what the load endpoint claims.
    pub(crate) fn claimed_load(&self) -> BackendLoad {
        let (claim, lag) = {
            let faults = self.faults.borrow();
            (faults.reported_load, faults.max_load_age)
        };
        claim.unwrap_or_else(|| sampled(&self.load, lag, || self.true_load()))
    }

    /// Lets a run go on by itself, so that it ends even when its connection is lost.
    pub(crate) fn spawn_run(
        &self,
        run: Run,
        service_time: Duration,
    ) -> oneshot::Receiver<RunOutcome> {
        let (sender, outcome) = oneshot::channel();
        let fails = self.happens(self.faults.borrow().fail_rate);
        self.spawn_task(async move {
            let outcome = run.execute(service_time, fails).await;
            // The connection may be gone; the journal has the outcome.
            let _unheard = sender.send(outcome);
        });
        outcome
    }

    /// Starts a task that ends when the server is killed.
    pub(crate) fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut runs = lock(&self.runs);
        while runs.try_join_next().is_some() {}
        runs.spawn(task);
    }

    pub(crate) fn abort_runs(&self) {
        lock(&self.runs).abort_all();
    }
}

impl Run {
    async fn execute(self, service_time: Duration, fails: bool) -> RunOutcome {
        tokio::select! {
            () = self.registration.cancelled() => {}
            () = sleep(service_time) => {}
        }
        let outcome = match (self.registration.end(), fails) {
            (false, _) => RunOutcome::Cancelled,
            (true, true) => RunOutcome::Failed,
            (true, false) => RunOutcome::Done,
        };
        self.record.finish(outcome);
        drop(self.permit);
        outcome
    }
}

/// Returns the last sample, or a new one when that is older than `lag`.
fn sampled<T: Copy>(
    sample: &Mutex<Option<Sample<T>>>,
    lag: Duration,
    current: impl FnOnce() -> T,
) -> T {
    let mut sample = lock(sample);
    let now = Instant::now();
    match &*sample {
        Some(last) if now - last.taken < lag => last.value,
        _ => {
            let value = current();
            *sample = Some(Sample { taken: now, value });
            value
        }
    }
}
