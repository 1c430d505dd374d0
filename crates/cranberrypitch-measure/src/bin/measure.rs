//! Measures policies in simulated time and prints the figures as JSON.

use std::process::ExitCode;

use cranberrypitch_measure::admission::{self, AdmissionMeasureOptions};
use cranberrypitch_measure::drain::{self, DrainMeasureOptions};
use cranberrypitch_measure::retry::{self, RetryMeasureOptions};
use pico_args::Arguments;
use serde::Serialize;

fn main() -> ExitCode {
    match measure(Arguments::from_env()) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("measure: {message}");
            ExitCode::from(2)
        }
    }
}

fn measure(mut arguments: Arguments) -> Result<String, Box<str>> {
    let verb = arguments.subcommand().map_err(|e| describe(&e))?;
    let seed = arguments
        .opt_value_from_str("--seed")
        .map_err(|e| describe(&e))?;
    let is_json = arguments.contains("--json");
    let seed = seed.unwrap_or(1);
    match verb.as_deref() {
        Some("admission") => {
            let report = admission::run(&admission_options(&mut arguments)?, seed);
            print(&report.map_err(|e| describe(&e))?, is_json)
        }
        Some("retry") => {
            let report = retry::run(&retry_options(&mut arguments)?, seed);
            print(&report.map_err(|e| describe(&e))?, is_json)
        }
        Some("drain") => {
            let report = drain::run(&drain_options(&mut arguments)?, seed);
            print(&report.map_err(|e| describe(&e))?, is_json)
        }
        _ => Err("the verb is one of: admission, retry, drain".into()),
    }
}

fn admission_options(arguments: &mut Arguments) -> Result<AdmissionMeasureOptions, Box<str>> {
    let mut options = AdmissionMeasureOptions::default();
    take(arguments, "--slots", &mut options.slots)?;
    take(arguments, "--tenants", &mut options.tenants)?;
    take(arguments, "--load", &mut options.load)?;
    Ok(options)
}

fn retry_options(arguments: &mut Arguments) -> Result<RetryMeasureOptions, Box<str>> {
    let mut options = RetryMeasureOptions::default();
    take(arguments, "--targets", &mut options.targets)?;
    take(arguments, "--slots", &mut options.slots)?;
    take(arguments, "--tenants", &mut options.callers)?;
    take(arguments, "--load", &mut options.overload)?;
    Ok(options)
}

fn drain_options(arguments: &mut Arguments) -> Result<DrainMeasureOptions, Box<str>> {
    let mut options = DrainMeasureOptions::default();
    take(arguments, "--targets", &mut options.targets)?;
    take(arguments, "--slots", &mut options.slots)?;
    take(arguments, "--load", &mut options.load)?;
    Ok(options)
}

fn take<T>(arguments: &mut Arguments, key: &'static str, value: &mut T) -> Result<(), Box<str>>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    if let Some(given) = arguments
        .opt_value_from_str(key)
        .map_err(|e| describe(&e))?
    {
        *value = given;
    }
    Ok(())
}

fn print<T: Serialize>(report: &T, is_json: bool) -> Result<String, Box<str>> {
    let text = if is_json {
        serde_json::to_string(report)
    } else {
        serde_json::to_string_pretty(report)
    };
    text.map_err(|e| describe(&e))
}

fn describe(error: &impl ToString) -> Box<str> {
    error.to_string().into()
}
