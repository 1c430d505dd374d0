//! Switches for faults of a backend server.

use std::time::Duration;

use cranberrypitch_agent::backend::{BackendLoad, BackendState};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::errors::{Error, Result};

/// Where a connection is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResetPoint {
    /// After the request was read and before it runs.
    Before,
    /// Halfway through the run, which goes on to its end.
    During,
    /// After the run, in place of the answer.
    After,
}

/// The faults of a backend server. The default has none.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The state that the health endpoint claims in place of the true one.
    pub health_claim: Option<BackendState>,
    /// How old the answers of the health endpoint may be.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "health_lag_ms")]
    pub health_lag: Duration,
    /// The load that the load endpoint claims in place of the true one.
    pub load_claim: Option<BackendLoad>,
    /// How old the answers of the load endpoint may be.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// The share of requests that are shed: refused as not run.
    pub shed_rate: f64,
    /// The share of requests that are refused without being run and without saying so.
    pub silent_shed_rate: f64,
    /// The share of runs that end with an error.
    pub fail_rate: f64,
    /// How long an answer is held back after the run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "answer_delay_ms")]
    pub answer_delay: Duration,
    /// Whether the process seems frozen: it accepts, answers and sends nothing until it is thawed.
    pub freeze: bool,
    /// Where connections of orders and uploads are reset.
    pub reset: Option<ResetPoint>,
    /// Whether answers of orders and uploads are cut after half of their bytes.
    pub cut_answers: bool,
    /// After how many readings a feed is cut.
    pub feed_cut_after: Option<u64>,
    /// After how many readings a feed skips one.
    pub feed_gap_after: Option<u64>,
}

impl Faults {
    pub(crate) fn check(&self) -> Result<()> {
        let shares = [
            ("shed_rate", self.shed_rate),
            ("silent_shed_rate", self.silent_shed_rate),
            ("fail_rate", self.fail_rate),
        ];
        for (option, share) in shares {
            if !(0.0..=1.0).contains(&share) {
                return Err(Error::option(option, "a share from 0 to 1"));
            }
        }
        Ok(())
    }
}
