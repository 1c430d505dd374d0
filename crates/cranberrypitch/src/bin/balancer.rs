//! The balancer daemon.

use cranberrypitch::daemon::{Invocation, parse_arguments};
use cranberrypitch_net::daemon::{ExitStatus, run};

fn main() -> ExitStatus {
    match parse_arguments("balancer") {
        Invocation::Run(settings) => run(&settings, cranberrypitch_balancer::process::run),
        Invocation::Exit(status) => status,
    }
}
