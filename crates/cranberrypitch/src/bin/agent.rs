//! The agent daemon.

use cranberrypitch::daemon::{Invocation, parse_arguments};
use cranberrypitch_net::daemon::{ExitStatus, run};

fn main() -> ExitStatus {
    match parse_arguments("agent") {
        Invocation::Run(settings) => run(&settings, cranberrypitch_agent::process::run),
        Invocation::Exit(status) => status,
    }
}
