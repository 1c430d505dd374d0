//! The `measure` command.

use std::alloc::System;
use std::process::ExitCode;

use cranberrypitch_measure::run;
use pico_args::Arguments;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations for the verbs that report memory.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

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
