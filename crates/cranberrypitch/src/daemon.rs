//! Command-line parsing of the daemons.

use std::path::{Path, PathBuf};

use cranberrypitch_net::Event;
use cranberrypitch_net::daemon::{ExitStatus, init_log};
use log::LevelFilter;
use pico_args::Arguments;

/// The parsed command line of a daemon.
#[derive(Debug)]
pub enum Invocation {
    /// Run with this settings file.
    Run(Box<Path>),
    /// Exit with this status.
    Exit(ExitStatus),
}

/// Parses the command line of the daemon `program`. Prints the help text or the version, or logs
/// invalid arguments.
pub fn parse_arguments(program: &str) -> Invocation {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!(
            "Usage: {program} --settings FILE\n\n\
             Runs until SIGTERM or SIGINT, then stops gracefully. SIGHUP reloads the keys.\n\
             docs/settings.md describes the settings.\n\n\
             Exit codes: 0 stopped gracefully, 1 failed, 2 arguments or settings refused"
        );
        return Invocation::Exit(ExitStatus::Graceful);
    }
    if arguments.contains(["-V", "--version"]) {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return Invocation::Exit(ExitStatus::Graceful);
    }
    match settings_file(arguments) {
        Ok(file) => Invocation::Run(file.into_boxed_path()),
        Err(problem) => {
            init_log(LevelFilter::Info);
            Event::ArgumentsRefused { problem }.log();
            Invocation::Exit(ExitStatus::Refused)
        }
    }
}

fn settings_file(mut arguments: Arguments) -> Result<PathBuf, Box<str>> {
    let file = arguments
        .value_from_str("--settings")
        .map_err(|e| Box::<str>::from(e.to_string()))?;
    match arguments.finish().first() {
        None => Ok(file),
        Some(rest) => {
            Err(format!("unknown argument '{}', see --help", rest.to_string_lossy()).into())
        }
    }
}
