//! Options of the verb.

use pico_args::Arguments;
use serde::Serialize;

use crate::errors::{Error, Result};

/// Sizes of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Options {
    /// The seed of all randomness.
    pub seed: u64,
    /// The number of targets.
    pub targets: u32,
    /// The slots of each target.
    pub slots: u32,
    /// The number of organisations, which ask for the same amount of work.
    #[serde(rename = "tenants")]
    pub organisations: u32,
    /// The age of a report when it arrives.
    pub report_delay_ms: u64,
    /// The share of reports and peer messages that are lost.
    pub report_loss: f64,
    /// The share of all slots that the requests need.
    pub load: f64,
    /// The number of balancers.
    pub balancers: u32,
    /// The mean of the exponential service time.
    pub service_ms: u64,
    /// The measured time, after a warm-up.
    pub seconds: u64,
    /// How many targets are killed, one after the other, and come back.
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
            service_ms: 1000,
            seconds: 600,
            kills: 0,
        }
    }
}

impl Options {
    /// Takes the options out of the arguments.
    pub fn from_arguments(arguments: &mut Arguments) -> Result<Self> {
        let mut options = Self::default();
        take(arguments, "--seed", &mut options.seed)?;
        take(arguments, "--targets", &mut options.targets)?;
        take(arguments, "--slots", &mut options.slots)?;
        take(arguments, "--tenants", &mut options.organisations)?;
        take(arguments, "--report-delay-ms", &mut options.report_delay_ms)?;
        take(arguments, "--report-loss", &mut options.report_loss)?;
        take(arguments, "--load", &mut options.load)?;
        take(arguments, "--balancers", &mut options.balancers)?;
        take(arguments, "--service-ms", &mut options.service_ms)?;
        take(arguments, "--seconds", &mut options.seconds)?;
        take(arguments, "--kills", &mut options.kills)?;
        options.check()?;
        Ok(options)
    }

    fn check(&self) -> Result<()> {
        in_range(
            "targets",
            "1 to 10000",
            (1..=10_000).contains(&self.targets),
        )?;
        in_range("slots", "1 to 1000", (1..=1000).contains(&self.slots))?;
        in_range(
            "tenants",
            "1 to 10000",
            (1..=10_000).contains(&self.organisations),
        )?;
        in_range(
            "report-delay-ms",
            "0 to 60000",
            self.report_delay_ms <= 60_000,
        )?;
        in_range(
            "report-loss",
            "0 to 1",
            (0.0..=1.0).contains(&self.report_loss),
        )?;
        in_range("load", "0.01 to 10", (0.01..=10.0).contains(&self.load))?;
        in_range(
            "balancers",
            "1 to 1000",
            (1..=1000).contains(&self.balancers),
        )?;
        in_range(
            "service-ms",
            "1 to 60000",
            (1..=60_000).contains(&self.service_ms),
        )?;
        in_range(
            "seconds",
            "1 to 86400",
            (1..=86_400).contains(&self.seconds),
        )?;
        in_range("kills", "0 to 100", self.kills <= 100)
    }
}

fn take<T>(arguments: &mut Arguments, key: &'static str, value: &mut T) -> Result<()>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    if let Some(given) = arguments.opt_value_from_str(key)? {
        *value = given;
    }
    Ok(())
}

fn in_range(option: &'static str, range: &'static str, is_in_range: bool) -> Result<()> {
    if is_in_range {
        Ok(())
    } else {
        Err(Error::OutOfRange { option, range })
    }
}
