//! The `measure` command.

use std::process::ExitCode;

use cranberrypitch_measure::run;
use pico_args::Arguments;

const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}
