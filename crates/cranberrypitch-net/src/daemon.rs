//! Start and stop of the daemons.
//!
//! A daemon has one control thread, which runs a current-thread runtime, and traffic threads.

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
pub use crate::daemon::signals::{Signal, Signals, until_stop};
pub use crate::daemon::threads::{StopFlag, TrafficThreads, log_ended};
use crate::errors::{Error, Result};
use crate::events::{Event, LOG_TARGET, Program};
use crate::keys::KeyRing;
use crate::metrics::Metrics;
use crate::settings::{AgentSettings, BalancerSettings};

/// The time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// A round that is this late means that the process did not run: three missed reports make an
/// agent silent to the others.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// How a process ends.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("exit code {}", self.code())]
pub enum ExitStatus {
    /// All work has ended gracefully.
    Graceful,
    /// An error ended the process.
    Failed,
    /// Arguments or settings are refused.
    Refused,
}

impl ExitStatus {
    /// Returns the exit code.
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

/// An error that ends a daemon.
pub trait DaemonError: std::error::Error {
    /// Returns how the process ends.
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Failed
    }
}

impl DaemonError for Error {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) | Self::Certificate { .. } | Self::Bind { .. } => ExitStatus::Refused,
            _ => ExitStatus::Failed,
        }
    }
}

/// What the start of a daemon needs of its settings.
pub trait DaemonSettings: Sized {
    /// The program that has these settings.
    const PROGRAM: Program;

    /// Reads the settings from a file.
    fn read_file(file: &Path) -> Result<Self>;

    /// Reports the listening addresses that can't be bound now.
    fn check_listening(&self, file: &Path) -> Result<()>;

    /// Returns the VM.
    fn vm(&self) -> &VmId;

    /// Returns the key file.
    fn key_file(&self) -> &Path;

    /// Returns the least severe level that is logged.
    fn log_level(&self) -> LevelFilter;

    /// Returns where metrics are sent.
    fn metrics_address(&self) -> Option<SocketAddrV4>;
}

macro_rules! daemon_settings {
    ($settings:ident, $program:ident) => {
        impl DaemonSettings for $settings {
            const PROGRAM: Program = Program::$program;

            fn read_file(file: &Path) -> Result<Self> {
                Self::read(file)
            }

            fn check_listening(&self, file: &Path) -> Result<()> {
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

/// What a daemon has when it begins to work.
#[derive(Debug)]
pub struct Startup<S> {
    /// The settings.
    pub settings: S,
    /// The file of the settings, for messages about addresses in use.
    pub settings_file: Box<Path>,
    /// The keys.
    pub keys: Arc<KeyRing>,
    /// The metrics, flushed once per second.
    pub metrics: Metrics,
    /// The number of this run.
    pub incarnation: Incarnation,
    /// The signals, already caught.
    pub signals: Signals,
}

/// Runs a daemon: reads its settings and keys, sets up the log and runs `body` on this thread,
/// which becomes the control thread. Each step and the end are logged.
pub fn run<S, E, F>(settings_file: &Path, body: impl FnOnce(Startup<S>) -> F) -> ExitStatus
where
    S: DaemonSettings,
    E: DaemonError,
    F: Future<Output = std::result::Result<(), E>>,
{
    init_log(LevelFilter::Info);
    let status = match read(settings_file) {
        Ok(read) => run_control(settings_file, read, body),
        Err(error) => error.exit_status(),
    };
    let exit_code = status.code();
    let program = S::PROGRAM;
    Event::Stopped { program, exit_code }.log();
    status
}

/// Sets up the log on the standard error stream. A logger that is set already stays.
pub fn init_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(LOG_TARGET)
        .build();
    // The level of the settings may be set later, so the logger itself lets everything through.
    drop(WriteLogger::init(
        LevelFilter::Trace,
        config,
        std::io::stderr(),
    ));
    log::set_max_level(level);
}

/// Returns the runtime of the control thread, or of a traffic thread that needs one.
pub fn thread_runtime() -> Result<Runtime> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| Error::thread("runtime", &e))
}

/// Returns the number of a run that starts now, which is higher than that of earlier runs.
pub fn new_incarnation(clock: &dyn Clock) -> Incarnation {
    let elapsed = clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    Incarnation::new(micros)
}

/// What is read before the control thread begins.
struct Read<S> {
    settings: S,
    keys: KeyRing,
    metrics: Metrics,
}

/// Reads settings and keys and logs what is refused.
fn read<S: DaemonSettings>(file: &Path) -> Result<Read<S>> {
    let settings = read_settings::<S>(file).inspect_err(log_settings_refused)?;
    let keys = KeyRing::load(settings.key_file()).inspect_err(signals::log_keys_refused)?;
    let metrics = Metrics::try_new(settings.metrics_address(), S::PROGRAM, settings.vm())
        .inspect_err(log_settings_refused)?;
    Ok(Read {
        settings,
        keys,
        metrics,
    })
}

fn read_settings<S: DaemonSettings>(file: &Path) -> Result<S> {
    let settings = S::read_file(file)?;
    log::set_max_level(settings.log_level());
    settings.check_listening(file)?;
    Ok(settings)
}

fn run_control<S, E, F>(
    settings_file: &Path,
    read: Read<S>,
    body: impl FnOnce(Startup<S>) -> F,
) -> ExitStatus
where
    S: DaemonSettings,
    E: DaemonError,
    F: Future<Output = std::result::Result<(), E>>,
{
    let runtime = match thread_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return failed(S::PROGRAM, &error),
    };
    runtime.block_on(async {
        let signals = match Signals::listen() {
            Ok(signals) => signals,
            Err(error) => return failed(S::PROGRAM, &error),
        };
        let startup = started(settings_file, read, signals);
        let metrics = startup.metrics.clone();
        let housekeeping = tokio::spawn(housekeeping_loop(metrics.clone()));
        let result = body(startup).await;
        housekeeping.abort();
        metrics.flush();
        match result {
            Ok(()) => ExitStatus::Graceful,
            Err(error) => failed(S::PROGRAM, &error),
        }
    })
}

fn started<S: DaemonSettings>(file: &Path, read: Read<S>, signals: Signals) -> Startup<S> {
    let incarnation = new_incarnation(&SystemClock);
    let vm = read.settings.vm().clone();
    let program = S::PROGRAM;
    Event::Started {
        program,
        vm,
        incarnation,
    }
    .log();
    Startup {
        settings: read.settings,
        settings_file: file.into(),
        keys: Arc::new(read.keys),
        metrics: read.metrics,
        incarnation,
        signals,
    }
}

fn failed(program: Program, error: &dyn DaemonError) -> ExitStatus {
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

/// Sends metrics, and logs when the process was paused.
async fn housekeeping_loop(metrics: Metrics) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        ticks.tick().await;
        let paused_ms = last.elapsed();
        if paused_ms > PAUSE_THRESHOLD {
            Event::Paused { paused_ms }.log();
        }
        last = Instant::now();
        metrics.flush();
    }
}
