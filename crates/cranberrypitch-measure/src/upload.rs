//! `measure upload`: uploads over the real path, with different thresholds of loss detection.

mod condition;
mod statistics;
mod transfer;

use std::time::Duration;

use pico_args::Arguments;
use serde::Serialize;

pub use self::condition::{Condition, Thresholds};
pub use self::statistics::{JitterCost, Spread, Summary};
pub use self::transfer::{End, Upload};
use crate::errors::{Error, Result};

const DEFAULT_SEED: u64 = 1;
const MAX_BYTES: usize = 100_000_000;
const MAX_ROUNDS: u32 = 20;
const MAX_LIMIT: Duration = Duration::from_mins(1);

/// What is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The length of the file.
    pub len_bytes: usize,
    /// Uploads per condition and thresholds.
    pub rounds: u32,
    /// An upload is given up after this time.
    pub limit: Duration,
    /// The conditions of the path.
    pub conditions: Vec<Condition>,
    /// The thresholds of both ends.
    pub thresholds: Vec<Thresholds>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            len_bytes: 10_000_000,
            rounds: 3,
            limit: MAX_LIMIT,
            conditions: Condition::ALL.to_vec(),
            thresholds: Thresholds::COMPARED.to_vec(),
        }
    }
}

/// The figures of the verb.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UploadReport {
    /// The length of the file.
    pub len_bytes: usize,
    /// The time after which an upload was given up.
    pub limit_s: f64,
    /// The uploads, in the order in which they ran.
    pub uploads: Vec<Upload>,
    /// The figures per condition and thresholds.
    pub summaries: Vec<Summary>,
    /// The cost of spraying and jitter per thresholds.
    pub jitter_costs: Vec<JitterCost>,
}

/// Runs the verb with the options of the command line.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let seed = arguments
        .opt_value_from_str("--seed")?
        .unwrap_or(DEFAULT_SEED);
    let options = take_options(arguments)?;
    let report = measure(&options, seed)?;
    let text = if as_json {
        serde_json::to_string(&report)?
    } else {
        serde_json::to_string_pretty(&report)?
    };
    Ok(text)
}

/// Runs all uploads one after the other. The rounds are the outer loop, so that other work on the
/// machine affects all conditions and thresholds alike.
pub fn measure(options: &Options, seed: u64) -> Result<UploadReport> {
    check(options)?;
    let mut uploads = Vec::new();
    for round in 0..options.rounds {
        for condition in &options.conditions {
            for thresholds in &options.thresholds {
                let seed = seed.wrapping_add(u64::from(round));
                let upload = transfer::run(options, *condition, *thresholds, seed)?;
                uploads.push(upload);
            }
        }
    }
    Ok(UploadReport {
        len_bytes: options.len_bytes,
        limit_s: options.limit.as_secs_f64(),
        summaries: statistics::summaries(options, &uploads),
        jitter_costs: statistics::jitter_costs(options, &uploads),
        uploads,
    })
}

fn take_options(arguments: &mut Arguments) -> Result<Options> {
    let mut options = Options::default();
    if let Some(len_bytes) = arguments.opt_value_from_str("--bytes")? {
        options.len_bytes = len_bytes;
    }
    if let Some(rounds) = arguments.opt_value_from_str("--rounds")? {
        options.rounds = rounds;
    }
    if let Some(limit_s) = arguments.opt_value_from_str("--limit-seconds")? {
        options.limit = Duration::from_secs(limit_s);
    }
    let conditions: Vec<Condition> = arguments.values_from_str("--condition")?;
    if !conditions.is_empty() {
        options.conditions = conditions;
    }
    let thresholds: Vec<Thresholds> = arguments.values_from_str("--thresholds")?;
    if !thresholds.is_empty() {
        options.thresholds = thresholds;
    }
    Ok(options)
}

fn check(options: &Options) -> Result<()> {
    if !(1..=MAX_BYTES).contains(&options.len_bytes) {
        return Err(Error::out_of_range("bytes", "1 to 100000000"));
    }
    if !(1..=MAX_ROUNDS).contains(&options.rounds) {
        return Err(Error::out_of_range("rounds", "1 to 20"));
    }
    if options.limit.is_zero() || options.limit > MAX_LIMIT {
        return Err(Error::out_of_range("limit-seconds", "1 to 60"));
    }
    Ok(())
}
