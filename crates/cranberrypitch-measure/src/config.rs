//! `measure config`: the encoded size of the configuration, the time to apply a change, and the
//! propagation of a change to all processes.
//!
//! The report is determined by the options and the seed, except for the times in
//! [`SizeRow::step_times`], which are included only on request.

mod propagation;
mod scenario;
mod size;
mod texts;

use derive_more::{Display, Error, From};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

pub use propagation::PropagationRow;
pub use scenario::Scenario;
pub use size::{SizeRow, StepTimes};

/// The parameters of the measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The numbers of services for which sizes are measured.
    pub services: Vec<usize>,
    /// Whether the times of single steps are measured too, which differ from run to run.
    pub measures_times: bool,
    /// The scenarios of the propagation.
    pub scenarios: Vec<Scenario>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            services: vec![4, 1_000, 8_000, 57_000],
            measures_times: false,
            scenarios: Scenario::defaults(),
        }
    }
}

/// The results of the measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConfigReport {
    /// The seed of the random generators.
    pub seed: u64,
    /// One row per number of services and number of shards.
    pub sizes: Vec<SizeRow>,
    /// One row per scenario, for the propagation of one change.
    #[serde(rename = "spread")]
    pub propagation: Vec<PropagationRow>,
}

/// The errors of the measurement.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum MeasureError {
    /// The core rejects a generated configuration.
    Config(cranberrypitch_core::Error),
    /// A generated configuration text is invalid.
    Text(cranberrypitch_core::config::Problems),
    /// A message can't be encoded as CBOR.
    Cbor(ciborium::ser::Error<std::io::Error>),
    /// A configuration text can't be encoded as JSON.
    Json(serde_json::Error),
}

pub(crate) type Result<T> = std::result::Result<T, MeasureError>;

/// Measures the sizes for each number of services and the propagation in each scenario.
///
/// # Errors
///
/// Returns an error if a generated configuration is invalid or can't be encoded.
pub fn run(options: &Options, seed: u64) -> Result<ConfigReport> {
    let mut sizes = Vec::new();
    for &services in &options.services {
        let mut rng = Pcg64::seed_from_u64(seed);
        let text = texts::generate(services, &mut rng)?;
        sizes.extend(size::measure(&text, options.measures_times)?);
    }
    let mut propagation = Vec::new();
    for scenario in &options.scenarios {
        propagation.push(propagation::measure(scenario, seed)?);
    }
    Ok(ConfigReport {
        seed,
        sizes,
        propagation,
    })
}
