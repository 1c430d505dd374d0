//! The command-line options of `measure placement`.

use pico_args::Arguments;
use serde::Serialize;

use crate::errors::{Error, Result};

/// The parameters of the simulation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Options {
    /// The seed of the random generators.
    pub seed: u64,
    /// The number of targets.
    pub targets: u32,
    /// The number of requests that a target runs at the same time.
    pub slots: u32,
    /// The number of organisations, which have equal arrival rates.
    #[serde(rename = "tenants")]
    pub organisations: u32,
    /// The one-way delay of a load report to a balancer.
    pub report_delay_ms: u64,
    /// The loss probability of reports and peer messages, from 0 to 1.
    pub report_loss: f64,
    /// The offered load: the expected utilisation of all slots, 1 being full.
    pub load: f64,
    /// The number of balancers.
    pub balancers: u32,
    /// The mean of the exponentially distributed service time.
    #[serde(rename = "service_ms")]
    pub service_time_ms: u64,
    /// The simulated time that is measured, after the warm-up.
    #[serde(rename = "seconds")]
    pub duration_s: u64,
    /// The number of times that a target is killed and restarted, at equal intervals.
    pub kills: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            targets: 7,
            slots: 4,
            organisations: 8,
            report_delay_ms: 200,
            report_loss: 0.0,
            load: 0.8,
            balancers: 3,
            service_time_ms: 1000,
            duration_s: 600,
            kills: 0,
        }
    }
}

impl Options {
    /// Parses the options and removes them from the arguments.
    ///
    /// # Errors
    ///
    /// Returns an error for a value that can't be parsed or is out of range.
    pub fn from_arguments(arguments: &mut Arguments) -> Result<Self> {
        let mut options = Self::default();
        parse_option(arguments, "--seed", &mut options.seed)?;
        parse_option(arguments, "--targets", &mut options.targets)?;
        parse_option(arguments, "--slots", &mut options.slots)?;
        parse_option(arguments, "--tenants", &mut options.organisations)?;
        parse_option(arguments, "--report-delay-ms", &mut options.report_delay_ms)?;
        parse_option(arguments, "--report-loss", &mut options.report_loss)?;
        parse_option(arguments, "--load", &mut options.load)?;
        parse_option(arguments, "--balancers", &mut options.balancers)?;
        parse_option(arguments, "--service-ms", &mut options.service_time_ms)?;
        parse_option(arguments, "--seconds", &mut options.duration_s)?;
        parse_option(arguments, "--kills", &mut options.kills)?;
        options.validate()?;
        Ok(options)
    }

    fn validate(&self) -> Result<()> {
        check_range(
            "targets",
            "1 to 10000",
            (1..=10_000).contains(&self.targets),
        )?;
        check_range("slots", "1 to 1000", (1..=1000).contains(&self.slots))?;
        check_range(
            "tenants",
            "1 to 10000",
            (1..=10_000).contains(&self.organisations),
        )?;
        check_range(
            "report-delay-ms",
            "0 to 60000",
            self.report_delay_ms <= 60_000,
        )?;
        check_range(
            "report-loss",
            "0 to 1",
            (0.0..=1.0).contains(&self.report_loss),
        )?;
        check_range("load", "0.01 to 10", (0.01..=10.0).contains(&self.load))?;
        check_range(
            "balancers",
            "1 to 1000",
            (1..=1000).contains(&self.balancers),
        )?;
        check_range(
            "service-ms",
            "1 to 60000",
            (1..=60_000).contains(&self.service_time_ms),
        )?;
        check_range(
            "seconds",
            "1 to 86400",
            (1..=86_400).contains(&self.duration_s),
        )?;
        check_range("kills", "0 to 100", self.kills <= 100)
    }
}

fn parse_option<T>(arguments: &mut Arguments, key: &'static str, value: &mut T) -> Result<()>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    if let Some(parsed) = arguments.opt_value_from_str(key)? {
        *value = parsed;
    }
    Ok(())
}

fn check_range(option: &'static str, range: &'static str, is_in_range: bool) -> Result<()> {
    if is_in_range {
        Ok(())
    } else {
        Err(Error::OutOfRange { option, range })
    }
}
