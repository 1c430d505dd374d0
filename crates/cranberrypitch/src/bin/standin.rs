//! Runs a stand-in for an external system: the network fabric, a backend server or the store.

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
Runs a stand-in for an external system of cranberrypitch.

Usage: standin VERB --settings FILE

Verbs:
  fabric   distributes UDP packets of callers over the balancers
  backend  runs orders and uploads and serves feeds over HTTP/1.1
  store    serves the platform's key-value service over HTTP/1.1, in memory

Options:
  --settings FILE  reads the settings (JSON, see docs/standins.md)
  --help           prints this text

Prints one line for each address it listens on, and runs until SIGINT or SIGTERM. A backend server
drains before it exits. The exit code is 2 if an argument or a setting is invalid.
";

/// The exit code for invalid arguments and settings.
const EXIT_INVALID_INPUT: u8 = 2;

/// How long a stopping backend server waits for its running requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An error of the program.
#[derive(Debug, Display, From)]
enum StandinError {
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

/// The stand-in to run, with its settings.
#[derive(Debug)]
enum Verb {
    Fabric(FabricSettings),
    Backend(BackendSettings),
    Store(StoreSettings),
}

/// A verb with its settings, and the file that contains them.
#[derive(Debug)]
struct StandinCommand {
    verb: Verb,
    file: PathBuf,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match parse(arguments).and_then(|command| run(&command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(StandinError::System(error)) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

fn parse(mut arguments: Arguments) -> std::result::Result<StandinCommand, StandinError> {
    let verb = arguments.subcommand()?.ok_or(StandinError::NoVerb)?;
    let read: fn(&Path) -> Result<Verb> = match verb.as_str() {
        "fabric" => |file| FabricSettings::read(file).map(Verb::Fabric),
        "backend" => |file| BackendSettings::read(file).map(Verb::Backend),
        "store" => |file| StoreSettings::read(file).map(Verb::Store),
        _ => return Err(StandinError::UnknownVerb { verb: verb.into() }),
    };
    let file: PathBuf = arguments.value_from_str("--settings")?;
    if let Some(argument) = arguments.finish().into_iter().next() {
        return Err(StandinError::UnknownArgument { argument });
    }
    let verb = read(&file)?;
    Ok(StandinCommand { verb, file })
}

fn run(command: &StandinCommand) -> std::result::Result<(), StandinError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let stop = StopSignals::try_new()?;
        let result = match &command.verb {
            Verb::Fabric(settings) => run_fabric(settings, stop).await,
            Verb::Backend(settings) => run_backend(settings, stop).await,
            Verb::Store(settings) => run_store(settings, stop).await,
        };
        result.map_err(|e| StandinError::Standin(Error::settings(&command.file, &e)))
    })
}

async fn run_fabric(settings: &FabricSettings, mut stop: StopSignals) -> Result<()> {
    let fabric = Fabric::spawn(settings.options()).await?;
    for address in fabric.addresses() {
        println!("fabric listens on {address}");
    }
    stop.wait().await;
    Ok(())
}

async fn run_store(settings: &StoreSettings, mut stop: StopSignals) -> Result<()> {
    let server = StoreServer::bind(settings.address(), settings.store()).await;
    let server = server.map_err(|e| Error::listen(settings.address(), e))?;
    println!("store listens on {}", server.address());
    stop.wait().await;
    Ok(())
}

async fn run_backend(settings: &BackendSettings, mut stop: StopSignals) -> Result<()> {
    let backend = BackendStandin::spawn(settings.options()).await?;
    println!("backend server listens on {}", backend.address());
    stop.wait().await;
    drain(&backend).await;
    Ok(())
}

/// The signals that stop the program.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn try_new() -> std::result::Result<Self, StandinError> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Drains the backend server: waits until its requests have completed and its feeds have moved.
async fn drain(backend: &BackendHandle) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    backend.drain();
    while Instant::now() < deadline && !is_idle(backend) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // The last response may still be in flight.
    sleep(DRAIN_POLL_INTERVAL).await;
}

fn is_idle(backend: &BackendHandle) -> bool {
    let is_running = |entry: &JournalEntry| entry.outcome == RunOutcome::Running;
    backend.load().waiting == 0 && !backend.journal().iter().any(is_running)
}
