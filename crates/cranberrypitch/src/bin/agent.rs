//! The daemon `agent`.

use cranberrypitch::daemon::{Invocation, invocation};
use cranberrypitch_net::daemon::{ExitStatus, run};

fn main() -> ExitStatus {
    match invocation("agent") {
        Invocation::Run(settings) => run(&settings, cranberrypitch_agent::process::run),
        Invocation::Exit(status) => status,
    }
}
