//! `measure upload`: uploads over the real data path, with different loss-detection thresholds.

mod condition;
mod statistics;
mod transfer;

use std::time::Duration;

use pico_args::Arguments;
use serde::Serialize;

pub use self::condition::{Condition, Thresholds};
pub use self::statistics::{JitterCost, Range, Summary};
pub use self::transfer::{Upload, UploadResult};
use crate::errors::{Error, Result};

const DEFAULT_SEED: u64 = 1;
const MAX_BYTES: usize = 100_000_000;
const MAX_ROUNDS: u32 = 20;
const MAX_TIMEOUT: Duration = Duration::from_mins(1);

/// The parameters of the measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The length of the file.
    pub len_bytes: usize,
    /// The number of uploads per network condition and pair of thresholds.
    pub rounds: u32,
    /// The time after which an upload is cancelled.
    pub timeout: Duration,
    /// The network conditions.
    pub conditions: Vec<Condition>,
    /// The loss-detection thresholds of both endpoints.
    pub thresholds: Vec<Thresholds>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            len_bytes: 10_000_000,
            rounds: 3,
            timeout: MAX_TIMEOUT,
            conditions: Condition::ALL.to_vec(),
            thresholds: Thresholds::COMPARED.to_vec(),
        }
    }
}

/// The results of `measure upload`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UploadReport {
    /// The length of the file.
    pub len_bytes: usize,
    /// The time after which an upload was cancelled.
    #[serde(rename = "limit_s")]
    pub timeout_s: f64,
    /// The uploads, in execution order.
    pub uploads: Vec<Upload>,
    /// One summary per network condition and pair of thresholds.
    pub summaries: Vec<Summary>,
    /// The cost of spraying and jitter, per pair of thresholds.
    pub jitter_costs: Vec<JitterCost>,
}

/// Runs `measure upload` and returns its report as JSON.
///
/// # Errors
///
/// Returns an error for invalid options or if a deployment can't start.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let seed = arguments
        .opt_value_from_str("--seed")?
        .unwrap_or(DEFAULT_SEED);
    let options = parse_options(arguments)?;
    let report = measure(&options, seed)?;
    let text = if as_json {
        serde_json::to_string(&report)?
    } else {
        serde_json::to_string_pretty(&report)?
    };
    Ok(text)
}

/// Runs all uploads sequentially. The rounds are the outer loop, so that other load on the machine
/// affects all conditions and thresholds alike.
///
/// # Errors
///
/// Returns an error for options out of range or if a deployment can't start.
pub fn measure(options: &Options, seed: u64) -> Result<UploadReport> {
    validate(options)?;
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
        timeout_s: options.timeout.as_secs_f64(),
        summaries: statistics::summaries(options, &uploads),
        jitter_costs: statistics::jitter_costs(options, &uploads),
        uploads,
    })
}

fn parse_options(arguments: &mut Arguments) -> Result<Options> {
    let mut options = Options::default();
    if let Some(len_bytes) = arguments.opt_value_from_str("--bytes")? {
        options.len_bytes = len_bytes;
    }
    if let Some(rounds) = arguments.opt_value_from_str("--rounds")? {
        options.rounds = rounds;
    }
    if let Some(limit_s) = arguments.opt_value_from_str("--limit-seconds")? {
        options.timeout = Duration::from_secs(limit_s);
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

fn validate(options: &Options) -> Result<()> {
    if !(1..=MAX_BYTES).contains(&options.len_bytes) {
        return Err(Error::out_of_range("bytes", "1 to 100000000"));
    }
    if !(1..=MAX_ROUNDS).contains(&options.rounds) {
        return Err(Error::out_of_range("rounds", "1 to 20"));
    }
    if options.timeout.is_zero() || options.timeout > MAX_TIMEOUT {
        return Err(Error::out_of_range("limit-seconds", "1 to 60"));
    }
    Ok(())
}
