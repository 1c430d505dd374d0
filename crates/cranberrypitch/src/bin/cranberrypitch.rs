//! The command line for operators and callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    cranberrypitch::command::run(pico_args::Arguments::from_env()).into()
}
