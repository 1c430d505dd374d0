//! The command line of the daemons and of what operators ask of them.

use std::net::SocketAddrV4;
use std::path::Path;

use cranberrypitch_net::daemon::ExitStatus;

use crate::daemon::{Role, run_daemon};
use crate::errors::Result;
use crate::inspect::{StatusTable, check_config, check_settings};
use crate::platform::Platform;

const USAGE: &str = "Usage: cranberrypitch-node VERB

  balancer, agent         run until SIGTERM or SIGINT, with the settings file that
                          the platform's variable names
  check-settings FILE     report the first error of a settings file
  check-config FILE       report the first error of a configuration
  status ADDRESS...       show what daemons serve at their metrics addresses

docs/platform.md describes the settings.";

/// Runs the verb of the command line.
pub fn run_command<P: Platform>(arguments: impl Iterator<Item = String>) -> ExitStatus {
    let arguments: Vec<String> = arguments.collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["balancer"] => run_role::<P>(Role::Balancer),
        ["agent"] => run_role::<P>(Role::Agent),
        ["check-settings", file] => show(check_settings(Path::new(file))),
        ["check-config", file] => show(check_config::<P>(Path::new(file))),
        ["status", ref addresses @ ..] if !addresses.is_empty() => show_status(addresses),
        ["--help" | "-h"] => {
            println!("{USAGE}");
            ExitStatus::Graceful
        }
        _ => refuse(USAGE),
    }
}

fn run_role<P: Platform>(role: Role) -> ExitStatus {
    match std::env::var_os(P::SETTINGS_VARIABLE) {
        Some(file) => run_daemon::<P>(role, Path::new(&file)),
        None => refuse(&format!("{} is not set\n\n{USAGE}", P::SETTINGS_VARIABLE)),
    }
}

fn show(result: Result<String>) -> ExitStatus {
    match result {
        Ok(text) => {
            println!("{text}");
            ExitStatus::Graceful
        }
        Err(error) => refuse(&error.to_string()),
    }
}

fn show_status(addresses: &[&str]) -> ExitStatus {
    let parsed: std::result::Result<Vec<SocketAddrV4>, _> =
        addresses.iter().map(|address| address.parse()).collect();
    let Ok(parsed) = parsed else {
        return refuse("status: an address has the form IP:PORT");
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
        Err(error) => refuse(&error.to_string()),
    }
}

fn refuse(text: &str) -> ExitStatus {
    eprintln!("{text}");
    ExitStatus::Refused
}
