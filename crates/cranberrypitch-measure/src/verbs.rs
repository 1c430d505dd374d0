//! Command-line parsing for the verbs whose measurements take option structs.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use serde::Serialize;

use crate::admission::{self, AdmissionMeasureOptions};
use crate::config;
use crate::dissemination::{self, DisseminationOptions};
use crate::drain::{self, DrainMeasureOptions};
use crate::errors::Result;
use crate::retry::{self, RetryMeasureOptions};
use crate::selection::{self, SelectionMeasureOptions};

const DEFAULT_SEED: u64 = 1;

pub(crate) fn admission(arguments: &mut Arguments) -> Result<String> {
    let mut options = AdmissionMeasureOptions::default();
    parse_option(arguments, "--slots", &mut options.slots)?;
    parse_option(arguments, "--tenants", &mut options.organisations)?;
    parse_option(arguments, "--load", &mut options.load)?;
    let seed = parse_seed(arguments)?;
    format_report(arguments, &admission::run(&options, seed)?)
}

pub(crate) fn retry(arguments: &mut Arguments) -> Result<String> {
    let mut options = RetryMeasureOptions::default();
    parse_option(arguments, "--targets", &mut options.targets)?;
    parse_option(arguments, "--slots", &mut options.slots)?;
    parse_option(arguments, "--tenants", &mut options.callers)?;
    parse_option(arguments, "--load", &mut options.overload)?;
    let seed = parse_seed(arguments)?;
    format_report(arguments, &retry::run(&options, seed)?)
}

pub(crate) fn selection(arguments: &mut Arguments) -> Result<String> {
    let mut options = if arguments.contains("--grown") {
        SelectionMeasureOptions::large_deployment()
    } else {
        SelectionMeasureOptions::default()
    };
    parse_option(arguments, "--slots", &mut options.slots)?;
    parse_option(arguments, "--load", &mut options.load)?;
    let seed = parse_seed(arguments)?;
    format_report(arguments, &selection::run(&options, seed)?)
}

pub(crate) fn drain(arguments: &mut Arguments) -> Result<String> {
    let mut options = DrainMeasureOptions::default();
    parse_option(arguments, "--targets", &mut options.target_count)?;
    parse_option(arguments, "--slots", &mut options.slots)?;
    parse_option(arguments, "--load", &mut options.load)?;
    let seed = parse_seed(arguments)?;
    format_report(arguments, &drain::run(&options, seed)?)
}

pub(crate) fn config(arguments: &mut Arguments) -> Result<String> {
    let options = config::Options {
        measures_times: arguments.contains("--times"),
        ..config::Options::default()
    };
    let seed = parse_seed(arguments)?;
    format_report(arguments, &config::run(&options, seed)?)
}

pub(crate) fn dissemination(arguments: &mut Arguments) -> Result<String> {
    let mut options = DisseminationOptions::default();
    parse_option(arguments, "--machines", &mut options.vms)?;
    parse_option(arguments, "--failure-domains", &mut options.failure_domains)?;
    parse_option(arguments, "--changes-per-s", &mut options.changes_per_s)?;
    if let Some(interval_s) = arguments.opt_value_from_str::<_, u64>("--failure-interval-s")? {
        options.failure_interval = Some(Duration::from_secs(interval_s));
    }
    let seed = parse_seed(arguments)?;
    format_report(arguments, &dissemination::run(&options, seed)?)
}

fn parse_seed(arguments: &mut Arguments) -> Result<u64> {
    Ok(arguments
        .opt_value_from_str("--seed")?
        .unwrap_or(DEFAULT_SEED))
}

fn parse_option<T>(arguments: &mut Arguments, key: &'static str, value: &mut T) -> Result<()>
where
    T: FromStr<Err: Display>,
{
    if let Some(parsed) = arguments.opt_value_from_str(key)? {
        *value = parsed;
    }
    Ok(())
}

fn format_report(arguments: &mut Arguments, report: &impl Serialize) -> Result<String> {
    let text = if arguments.contains("--json") {
        serde_json::to_string(report)?
    } else {
        serde_json::to_string_pretty(report)?
    };
    Ok(text)
}
