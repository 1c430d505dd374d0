//! Runs a stand-in for a system around cranberrypitch.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use cranberrypitch_standins::backend::{BackendHandle, BackendStandin, JournalEntry, RunOutcome};
use cranberrypitch_standins::fabric::Fabric;
use cranberrypitch_standins::settings::{BackendSettings, FabricSettings, StoreSettings};
use cranberrypitch_standins::store::StoreServer;
use cranberrypitch_standins::{Error, Result};
use derive_more::{Display, From};
use pico_args::Arguments;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};

const HELP: &str = "\
Runs a stand-in for a system around cranberrypitch.

Usage: standin VERB --settings FILE

Verbs:
  fabric   sprays UDP packets of callers over the balancers
  backend  runs orders and uploads and serves feeds over HTTP/1.1
  store    serves the platform's key-value service over HTTP/1.1, in memory

Options:
  --settings FILE  reads the settings (JSON, see docs/standins.md)
  --help           prints this text

Prints one line with each address it listens on and runs until SIGINT or SIGTERM. A backend server
drains before it ends. The exit code is 2 when an argument or a setting is wrong.
";

/// Exit code for wrong arguments and settings.
const EXIT_WRONG_INPUT: u8 = 2;

/// How long a backend server may take to finish its running requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why the program ends early.
#[derive(Debug, Display, From)]
enum Failure {
    #[display("{_0}; see --help")]
    Arguments(pico_args::Error),
    #[display("unknown verb '{verb}', must be fabric, backend or store; see --help")]
    #[from(ignore)]
    UnknownVerb { verb: Box<str> },
    #[display("no verb, must be fabric, backend or store; see --help")]
    NoVerb,
    #[display("unknown argument {argument:?}; see --help")]
    #[from(ignore)]
    UnknownArgument { argument: OsString },
    #[display("{_0}")]
    Standin(Error),
    #[display("{_0}")]
    System(std::io::Error),
}

/// What is to be run.
#[derive(Debug)]
enum Verb {
    Fabric(FabricSettings),
    Backend(BackendSettings),
    Store(StoreSettings),
}

/// A verb with its settings, and the file that they are from.
#[derive(Debug)]
struct Task {
    verb: Verb,
    file: PathBuf,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match parse(arguments).and_then(|task| run(&task)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::System(error)) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
        Err(failure) => {
            eprintln!("standin: {failure}");
            ExitCode::from(EXIT_WRONG_INPUT)
        }
    }
}

fn parse(mut arguments: Arguments) -> std::result::Result<Task, Failure> {
    let verb = arguments.subcommand()?.ok_or(Failure::NoVerb)?;
    let read: fn(&Path) -> Result<Verb> = match verb.as_str() {
        "fabric" => |file| FabricSettings::read(file).map(Verb::Fabric),
        "backend" => |file| BackendSettings::read(file).map(Verb::Backend),
        "store" => |file| StoreSettings::read(file).map(Verb::Store),
        _ => return Err(Failure::UnknownVerb { verb: verb.into() }),
    };
    let file: PathBuf = arguments.value_from_str("--settings")?;
    if let Some(argument) = arguments.finish().into_iter().next() {
        return Err(Failure::UnknownArgument { argument });
    }
    let verb = read(&file)?;
    Ok(Task { verb, file })
}

fn run(task: &Task) -> std::result::Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let stop = StopSignals::try_new()?;
        let ended = match &task.verb {
            Verb::Fabric(settings) => run_fabric(settings, stop).await,
            Verb::Backend(settings) => run_backend(settings, stop).await,
            Verb::Store(settings) => run_store(settings, stop).await,
        };
        ended.map_err(|e| Failure::Standin(Error::settings(&task.file, &e)))
    })
}

async fn run_fabric(settings: &FabricSettings, mut stop: StopSignals) -> Result<()> {
    let fabric = Fabric::spawn(settings.options()).await?;
    for address in fabric.addresses() {
        println!("fabric listens on {address}");
    }
    stop.received().await;
    Ok(())
}

async fn run_store(settings: &StoreSettings, mut stop: StopSignals) -> Result<()> {
    let server = StoreServer::bind(settings.address(), settings.store()).await;
    let server = server.map_err(|e| Error::listen(settings.address(), e))?;
    println!("store listens on {}", server.address());
    stop.received().await;
    Ok(())
}

async fn run_backend(settings: &BackendSettings, mut stop: StopSignals) -> Result<()> {
    let backend = BackendStandin::spawn(settings.options()).await?;
    println!("backend server listens on {}", backend.address());
    stop.received().await;
    drain(&backend).await;
    Ok(())
}

/// The signals that ask the program to stop.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn try_new() -> std::result::Result<Self, Failure> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Lets the running requests finish and the feeds move away.
async fn drain(backend: &BackendHandle) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    backend.drain();
    while Instant::now() < deadline && !is_idle(backend) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // The last answer may still be on its way.
    sleep(DRAIN_POLL_INTERVAL).await;
}

fn is_idle(backend: &BackendHandle) -> bool {
    let is_running = |entry: &JournalEntry| entry.outcome == RunOutcome::Running;
    backend.load().waiting == 0 && !backend.journal().iter().any(is_running)
}
