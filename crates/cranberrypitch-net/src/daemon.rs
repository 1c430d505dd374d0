//! Startup and shutdown of the daemons.
//!
//! A daemon has one control thread, which runs a current-thread Tokio runtime, and traffic threads.

mod restarts;
mod signals;
mod threads;

use std::net::SocketAddrV4;
use std::path::Path;
use std::process::{ExitCode, Termination};
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use cranberrypitch_core::{Clock, Incarnation, SystemClock, VmId};
use derive_more::Display;
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, MissedTickBehavior, interval};

pub use crate::daemon::restarts::RestartLog;
pub use crate::daemon::signals::{Signal, Signals, wait_for_stop};
pub use crate::daemon::threads::{StopFlag, TrafficThreads, log_thread_exit};
use crate::errors::{Error, Result};
use crate::events::{Event, LOG_TARGET, Program};
use crate::keys::KeyRing;
use crate::metrics::Metrics;
use crate::settings::{AgentSettings, BalancerSettings};

/// The interval of the task that flushes metrics and detects pauses of the process.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// A housekeeping round later than this is logged as a pause of the process. An agent that misses
/// three reports counts as silent at the balancers.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// The exit status of a daemon process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("exit code {}", self.code())]
pub enum ExitStatus {
    /// The daemon shut down gracefully.
    Graceful,
    /// An error stopped the daemon.
    Failed,
    /// Arguments or settings are invalid.
    Refused,
}

impl ExitStatus {
    /// Returns the exit code of the process: 0, 1 or 2.
    pub const fn code(self) -> u8 {
        match self {
            Self::Graceful => 0,
            Self::Failed => 1,
            Self::Refused => 2,
        }
    }
}

impl Termination for ExitStatus {
    fn report(self) -> ExitCode {
        ExitCode::from(self.code())
    }
}

/// An error that stops a daemon.
pub trait DaemonError: std::error::Error {
    /// Returns the exit status that the error leads to.
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Failed
    }
}

impl DaemonError for Error {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::InvalidFile(_) | Self::Certificate { .. } | Self::Bind { .. } => {
                ExitStatus::Refused
            }
            _ => ExitStatus::Failed,
        }
    }
}

/// The settings that each daemon has.
pub trait DaemonSettings: Sized {
    /// The program that the settings belong to.
    const PROGRAM: Program;

    /// Reads and checks the settings of a file.
    fn read_file(file: &Path) -> Result<Self>;

    /// Returns an error that lists the listen addresses that can't be bound.
    fn check_listen_addresses(&self, file: &Path) -> Result<()>;

    /// Returns the name of the VM that the daemon runs on.
    fn vm(&self) -> &VmId;

    /// Returns the path of the key file.
    fn key_file(&self) -> &Path;

    /// Returns the least severe level that is logged.
    fn log_level(&self) -> LevelFilter;

    /// Returns the address that metrics are sent to, or `None` if none are sent.
    fn metrics_address(&self) -> Option<SocketAddrV4>;
}

macro_rules! daemon_settings {
    ($settings:ident, $program:ident) => {
        impl DaemonSettings for $settings {
            const PROGRAM: Program = Program::$program;

            fn read_file(file: &Path) -> Result<Self> {
                Self::read(file)
            }

            fn check_listen_addresses(&self, file: &Path) -> Result<()> {
                self.check_addresses(file)
            }

            fn vm(&self) -> &VmId {
                &self.vm
            }

            fn key_file(&self) -> &Path {
                &self.key_file
            }

            fn log_level(&self) -> LevelFilter {
                self.log
            }

            fn metrics_address(&self) -> Option<SocketAddrV4> {
                self.metrics_address
            }
        }
    };
}

daemon_settings!(BalancerSettings, Balancer);
daemon_settings!(AgentSettings, Agent);

/// The inputs of a daemon's main function.
#[derive(Debug)]
pub struct DaemonContext<S> {
    /// The checked settings.
    pub settings: S,
    /// The file of the settings, for messages about addresses in use.
    pub settings_file: Box<Path>,
    /// The keys of the deployment.
    pub keys: Arc<KeyRing>,
    /// The metrics, flushed once per second.
    pub metrics: Metrics,
    /// The incarnation of this run.
    pub incarnation: Incarnation,
    /// The signal handlers, which are already installed.
    pub signals: Signals,
}

/// Runs a daemon: reads its settings and keys, sets up logging, and runs `body` on this thread,
/// which becomes the control thread. Logs the start, any failure and the exit code.
pub fn run<S, E, F>(settings_file: &Path, body: impl FnOnce(DaemonContext<S>) -> F) -> ExitStatus
where
    S: DaemonSettings,
    E: DaemonError,
    F: Future<Output = std::result::Result<(), E>>,
{
    init_log(LevelFilter::Info);
    let status = match load_files(settings_file) {
        Ok(loaded) => run_control(settings_file, loaded, body),
        Err(error) => error.exit_status(),
    };
    let exit_code = status.code();
    let program = S::PROGRAM;
    Event::Stopped { program, exit_code }.log();
    status
}

/// Installs a logger that writes to the standard error stream, unless one is installed already.
pub fn init_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(LOG_TARGET)
        .build();
    // The level may change when the settings are read, so the logger itself accepts all levels.
    drop(WriteLogger::init(
        LevelFilter::Trace,
        config,
        std::io::stderr(),
    ));
    log::set_max_level(level);
}

/// Returns a current-thread runtime for the control thread or for a traffic thread.
pub fn thread_runtime() -> Result<Runtime> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| Error::thread("runtime", &e))
}

/// Returns the incarnation of a run that starts now: the wall-clock time in microseconds, so it is
/// higher than that of earlier runs.
pub fn new_incarnation(clock: &dyn Clock) -> Incarnation {
    let elapsed = clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    Incarnation::new(micros)
}

/// The settings, keys and metrics that are loaded before the control thread starts.
struct LoadedFiles<S> {
    settings: S,
    keys: KeyRing,
    metrics: Metrics,
}

/// Reads settings and keys, and logs each problem found.
fn load_files<S: DaemonSettings>(file: &Path) -> Result<LoadedFiles<S>> {
    let settings = read_settings::<S>(file).inspect_err(log_settings_refused)?;
    let keys = KeyRing::load(settings.key_file()).inspect_err(signals::log_keys_refused)?;
    let metrics = Metrics::try_new(settings.metrics_address(), S::PROGRAM, settings.vm())
        .inspect_err(log_settings_refused)?;
    Ok(LoadedFiles {
        settings,
        keys,
        metrics,
    })
}

fn read_settings<S: DaemonSettings>(file: &Path) -> Result<S> {
    let settings = S::read_file(file)?;
    log::set_max_level(settings.log_level());
    settings.check_listen_addresses(file)?;
    Ok(settings)
}

fn run_control<S, E, F>(
    settings_file: &Path,
    loaded: LoadedFiles<S>,
    body: impl FnOnce(DaemonContext<S>) -> F,
) -> ExitStatus
where
    S: DaemonSettings,
    E: DaemonError,
    F: Future<Output = std::result::Result<(), E>>,
{
    let runtime = match thread_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return log_failure(S::PROGRAM, &error),
    };
    runtime.block_on(async {
        let signals = match Signals::listen() {
            Ok(signals) => signals,
            Err(error) => return log_failure(S::PROGRAM, &error),
        };
        let context = new_context(settings_file, loaded, signals);
        let metrics = context.metrics.clone();
        let housekeeping = tokio::spawn(housekeeping_loop(metrics.clone()));
        let result = body(context).await;
        housekeeping.abort();
        metrics.flush();
        match result {
            Ok(()) => ExitStatus::Graceful,
            Err(error) => log_failure(S::PROGRAM, &error),
        }
    })
}

fn new_context<S: DaemonSettings>(
    file: &Path,
    loaded: LoadedFiles<S>,
    signals: Signals,
) -> DaemonContext<S> {
    let incarnation = new_incarnation(&SystemClock);
    let vm = loaded.settings.vm().clone();
    let program = S::PROGRAM;
    Event::Started {
        program,
        vm,
        incarnation,
    }
    .log();
    DaemonContext {
        settings: loaded.settings,
        settings_file: file.into(),
        keys: Arc::new(loaded.keys),
        metrics: loaded.metrics,
        incarnation,
        signals,
    }
}

fn log_failure(program: Program, error: &dyn DaemonError) -> ExitStatus {
    let status = error.exit_status();
    let error = error.to_string().into();
    Event::Failed { program, error }.log();
    status
}

fn log_settings_refused(error: &Error) {
    for problem in error.problems() {
        Event::SettingsRefused { problem }.log();
    }
}

/// Flushes the metrics once per interval, and logs pauses of the process.
async fn housekeeping_loop(metrics: Metrics) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_tick = Instant::now();
    loop {
        ticks.tick().await;
        let paused_ms = last_tick.elapsed();
        if paused_ms > PAUSE_THRESHOLD {
            Event::Paused { paused_ms }.log();
        }
        last_tick = Instant::now();
        metrics.flush();
    }
}
