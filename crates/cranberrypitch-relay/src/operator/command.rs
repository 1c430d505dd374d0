//! The command line that runs a daemon, checks files and shows the status of daemons.

use std::net::SocketAddrV4;
use std::path::Path;

use cranberrypitch_net::daemon::ExitStatus;

use crate::errors::Result;
use crate::operator::inspect::{StatusTable, check_config, check_settings};
use crate::platform::Platform;
use crate::run::{Role, run_daemon};

const USAGE: &str = "Usage: cranberrypitch-node VERB

  balancer, agent         run the daemon until SIGTERM or SIGINT, with the settings file
                          whose path is in the platform's environment variable
  check-settings FILE     report the first error of a settings file
  check-config FILE       report the first error of a configuration
  status ADDRESS...       show the main metrics of the daemons at these metrics addresses

docs/platform.md describes the settings.";

/// Runs the verb given by the arguments of the command line, without the program name.
pub fn run_command<P: Platform>(arguments: impl Iterator<Item = String>) -> ExitStatus {
    let arguments: Vec<String> = arguments.collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["balancer"] => run_role::<P>(Role::Balancer),
        ["agent"] => run_role::<P>(Role::Agent),
        ["check-settings", file] => print_result(check_settings(Path::new(file))),
        ["check-config", file] => print_result(check_config::<P>(Path::new(file))),
        ["status", ref addresses @ ..] if !addresses.is_empty() => show_status(addresses),
        ["--help" | "-h"] => {
            println!("{USAGE}");
            ExitStatus::Graceful
        }
        _ => print_error(USAGE),
    }
}

fn run_role<P: Platform>(role: Role) -> ExitStatus {
    match std::env::var_os(P::SETTINGS_VARIABLE) {
        Some(file) => run_daemon::<P>(role, Path::new(&file)),
        None => print_error(&format!(
            "environment variable {} is not set\n\n{USAGE}",
            P::SETTINGS_VARIABLE
        )),
    }
}

fn print_result(result: Result<String>) -> ExitStatus {
    match result {
        Ok(text) => {
            println!("{text}");
            ExitStatus::Graceful
        }
        Err(error) => print_error(&error.to_string()),
    }
}

fn show_status(addresses: &[&str]) -> ExitStatus {
    let parsed: std::result::Result<Vec<SocketAddrV4>, _> =
        addresses.iter().map(|address| address.parse()).collect();
    let Ok(parsed) = parsed else {
        return print_error("status: an address must have the form IP:PORT");
    };
    match StatusTable::fetch(&parsed) {
        Ok(table) => {
            println!("{table}");
            if table.is_complete() {
                ExitStatus::Graceful
            } else {
                ExitStatus::Failed
            }
        }
        Err(error) => print_error(&error.to_string()),
    }
}

/// Prints a text to the standard error stream and returns the exit status of a refused command.
fn print_error(text: &str) -> ExitStatus {
    eprintln!("{text}");
    ExitStatus::Refused
}
