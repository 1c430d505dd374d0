//! Fault injection in a backend server.

use std::time::Duration;

use cranberrypitch_agent::backend::{BackendLoad, BackendState};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::errors::{Error, Result};

/// The point of a request's processing at which its connection is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResetPoint {
    /// After the head of the request is read and before the request runs.
    Before,
    /// Halfway through the run, which continues to its end.
    During,
    /// After the run, instead of a response.
    After,
}

/// The faults that a backend server injects. The default injects none.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The state that the health endpoint reports instead of the actual one.
    #[serde(rename = "health_claim")]
    pub reported_state: Option<BackendState>,
    /// How long the health endpoint may report a cached state.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "health_lag_ms")]
    pub max_health_age: Duration,
    /// The load that the load endpoint reports instead of the actual one.
    #[serde(rename = "load_claim")]
    pub reported_load: Option<BackendLoad>,
    /// How long the load endpoint may report a cached load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_lag_ms")]
    pub max_load_age: Duration,
    /// The share of requests, from 0 to 1, that are refused with the header `x-not-run`.
    pub shed_rate: f64,
    /// The share of requests, from 0 to 1, that are refused without the header `x-not-run`. They
    /// don't run either.
    pub silent_shed_rate: f64,
    /// The share of runs, from 0 to 1, that end with an error.
    pub fail_rate: f64,
    /// The delay between the end of a run and its response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "answer_delay_ms")]
    pub response_delay: Duration,
    /// Whether the server accepts no connections and sends no responses or readings, like a process
    /// that is suspended.
    #[serde(rename = "freeze")]
    pub is_frozen: bool,
    /// When the connections of orders and uploads are reset, if at all.
    #[serde(rename = "reset")]
    pub reset_point: Option<ResetPoint>,
    /// Whether the responses to orders and uploads are truncated to half of their bytes.
    #[serde(rename = "cut_answers")]
    pub truncates_responses: bool,
    /// The number of readings after which a feed is aborted.
    #[serde(rename = "feed_cut_after")]
    pub feed_abort_after_readings: Option<u64>,
    /// The number of readings after which a feed skips one.
    #[serde(rename = "feed_gap_after")]
    pub feed_gap_after_readings: Option<u64>,
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
                return Err(Error::invalid_option(option, "a share from 0 to 1"));
            }
        }
        Ok(())
    }
}
