//! The daemon `balancer`.

use cranberrypitch::daemon::{Invocation, invocation};
use cranberrypitch_net::daemon::{ExitStatus, run};

fn main() -> ExitStatus {
    match invocation("balancer") {
        Invocation::Run(settings) => run(&settings, cranberrypitch_balancer::process::run),
        Invocation::Exit(status) => status,
    }
}
