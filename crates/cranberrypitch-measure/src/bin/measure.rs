//! Measures policies in simulated time and prints the figures as JSON.

use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;

use cranberrypitch_measure::admission::{self, AdmissionMeasureOptions};
use cranberrypitch_measure::drain::{self, DrainMeasureOptions};
use cranberrypitch_measure::retry::{self, RetryMeasureOptions};
use derive_more::{Display, Error, From};
use pico_args::Arguments;
use serde::Serialize;

type Result<T> = std::result::Result<T, Failure>;

/// Why nothing was measured.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("the verb is one of: admission, retry, drain")]
    Verb,
    #[display("argument '{argument}' is not known")]
    #[from(skip)]
    Unknown { argument: Box<str> },
    #[display("{_0}")]
    Arguments(pico_args::Error),
    #[display("{_0}")]
    Sizes(cranberrypitch_core::Error),
    #[display("{_0}")]
    Json(serde_json::Error),
}

fn main() -> ExitCode {
    match measure(Arguments::from_env()) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("measure: {failure}");
            ExitCode::from(2)
        }
    }
}

fn measure(mut arguments: Arguments) -> Result<String> {
    let verb = arguments.subcommand()?;
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let is_json = arguments.contains("--json");
    match verb.as_deref() {
        Some("admission") => {
            let options = admission_options(arguments)?;
            print(&admission::run(&options, seed)?, is_json)
        }
        Some("retry") => {
            let options = retry_options(arguments)?;
            print(&retry::run(&options, seed)?, is_json)
        }
        Some("drain") => {
            let options = drain_options(arguments)?;
            print(&drain::run(&options, seed)?, is_json)
        }
        _ => Err(Failure::Verb),
    }
}

fn admission_options(mut arguments: Arguments) -> Result<AdmissionMeasureOptions> {
    let mut options = AdmissionMeasureOptions::default();
    take(&mut arguments, "--slots", &mut options.slots)?;
    take(&mut arguments, "--tenants", &mut options.tenants)?;
    take(&mut arguments, "--load", &mut options.load)?;
    finish(arguments)?;
    Ok(options)
}

fn retry_options(mut arguments: Arguments) -> Result<RetryMeasureOptions> {
    let mut options = RetryMeasureOptions::default();
    take(&mut arguments, "--targets", &mut options.targets)?;
    take(&mut arguments, "--slots", &mut options.slots)?;
    take(&mut arguments, "--tenants", &mut options.callers)?;
    take(&mut arguments, "--load", &mut options.overload)?;
    finish(arguments)?;
    Ok(options)
}

fn drain_options(mut arguments: Arguments) -> Result<DrainMeasureOptions> {
    let mut options = DrainMeasureOptions::default();
    take(&mut arguments, "--targets", &mut options.targets)?;
    take(&mut arguments, "--slots", &mut options.slots)?;
    take(&mut arguments, "--load", &mut options.load)?;
    finish(arguments)?;
    Ok(options)
}

fn take<T>(arguments: &mut Arguments, key: &'static str, value: &mut T) -> Result<()>
where
    T: FromStr<Err: Display>,
{
    if let Some(given) = arguments.opt_value_from_str(key)? {
        *value = given;
    }
    Ok(())
}

/// Refuses arguments that no option took.
fn finish(arguments: Arguments) -> Result<()> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => Err(Failure::Unknown {
            argument: argument.to_string_lossy().into(),
        }),
    }
}

fn print<T: Serialize>(report: &T, is_json: bool) -> Result<String> {
    Ok(if is_json {
        serde_json::to_string(report)?
    } else {
        serde_json::to_string_pretty(report)?
    })
}
