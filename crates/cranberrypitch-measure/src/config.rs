//! Measures the configuration: its size in bytes and time, and how a change spreads.
//!
//! The report depends on the options and the seed alone, except for the times in
//! [`SizeRow::busy`], which are left out unless they are asked for.

mod scenario;
mod size;
mod spread;
mod texts;

use derive_more::{Display, Error, From};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

pub use scenario::Scenario;
pub use size::{Busy, SizeRow};
pub use spread::SpreadRow;

/// What to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The numbers of services.
    pub services: Vec<usize>,
    /// Whether busy times are measured as well; these differ from run to run.
    pub times: bool,
    /// The ways in which a change spreads.
    pub scenarios: Vec<Scenario>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            services: vec![4, 1_000, 8_000, 57_000],
            times: false,
            scenarios: Scenario::usual(),
        }
    }
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Sizes for each number of services and of shards.
    pub sizes: Vec<SizeRow>,
    /// The spread of one change in each scenario.
    pub spread: Vec<SpreadRow>,
}

/// Why a measurement failed.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum MeasureError {
    /// A generated text is not accepted.
    Config(cranberrypitch_core::Error),
    /// A generated text breaks a rule.
    Text(cranberrypitch_core::config::Problems),
    /// A message can't be encoded.
    Cbor(ciborium::ser::Error<std::io::Error>),
    /// A text can't be encoded.
    Json(serde_json::Error),
}

pub(crate) type Result<T> = std::result::Result<T, MeasureError>;

/// Runs the measurement.
pub fn run(options: &Options, seed: u64) -> Result<Report> {
    let mut sizes = Vec::new();
    for &services in &options.services {
        let mut random = Pcg64::seed_from_u64(seed);
        let text = texts::generate(services, &mut random)?;
        sizes.extend(size::measure(&text, options.times)?);
    }
    let mut spread = Vec::new();
    for scenario in &options.scenarios {
        spread.push(spread::measure(scenario, seed)?);
    }
    Ok(Report {
        seed,
        sizes,
        spread,
    })
}
