//! `measure capacity`: bytes, processor time and memory as functions of the load.
//!
//! Each quantity is measured at several sizes and reported with its slope and unit.

mod flows;
mod messages;
mod orders;
mod placement;
mod reports;

use pico_args::Arguments;
use serde::Serialize;

use crate::errors::{Error, Result};

/// One measured quantity at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CapacityRow {
    /// The name of the measured quantity.
    #[serde(rename = "figure")]
    pub quantity: &'static str,
    /// The unit of the size, such as `flow` or `target`.
    #[serde(rename = "per")]
    pub size_unit: &'static str,
    /// The number of `size_unit`s.
    pub size: u32,
    /// The measured value, in `unit`.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
}

/// The growth of a quantity with the size, between the smallest and the largest size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The name of the measured quantity.
    #[serde(rename = "figure")]
    pub quantity: &'static str,
    /// The growth per `size_unit`, in `unit`.
    pub slope: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// The unit of the size, such as `flow` or `target`.
    #[serde(rename = "per")]
    pub size_unit: &'static str,
}

/// The results of one section of the report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CapacitySection {
    /// The name of the section, as for `--part`.
    pub name: &'static str,
    /// One row per quantity and size.
    pub rows: Vec<CapacityRow>,
    /// The slope of each quantity that was measured at more than one size.
    pub slopes: Vec<Slope>,
}

type MeasureFn = fn() -> Result<Vec<CapacityRow>>;

/// The sections in execution order; later ones leave more memory allocated.
const SECTIONS: [(&str, MeasureFn); 5] = [
    ("messages", messages::measure),
    ("placement", placement::measure),
    ("orders", orders::measure),
    ("reports", reports::measure),
    ("flows", flows::measure),
];

/// Runs `measure capacity` and returns its report as JSON.
///
/// # Errors
///
/// Returns an error for an unknown section or if a measurement fails.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let name: Option<String> = arguments.opt_value_from_str("--part")?;
    let sections = measure(name.as_deref())?;
    let text = if as_json {
        serde_json::to_string(&sections)?
    } else {
        serde_json::to_string_pretty(&sections)?
    };
    Ok(text)
}

/// Measures the named section, or all sections.
///
/// # Errors
///
/// Returns an error for an unknown section or if a measurement fails.
pub fn measure(name: Option<&str>) -> Result<Vec<CapacitySection>> {
    let selected = SECTIONS
        .iter()
        .filter(|(n, _)| name.is_none_or(|w| w == *n));
    let measured: Result<Vec<_>> = selected
        .map(|(name, run)| Ok(section(name, run()?)))
        .collect();
    match measured {
        Ok(sections) if sections.is_empty() => Err(Error::out_of_range(
            "part",
            "messages, placement, orders, reports or flows",
        )),
        measured => measured,
    }
}

fn section(name: &'static str, rows: Vec<CapacityRow>) -> CapacitySection {
    let mut slopes: Vec<Slope> = Vec::new();
    for row in &rows {
        if !slopes.iter().any(|s| s.quantity == row.quantity) {
            slopes.extend(slope(row, &rows));
        }
    }
    CapacitySection { name, rows, slopes }
}

fn slope(first: &CapacityRow, rows: &[CapacityRow]) -> Option<Slope> {
    let last = rows.iter().rfind(|row| row.quantity == first.quantity)?;
    let size_difference = f64::from(last.size) - f64::from(first.size);
    (size_difference > 0.0).then(|| Slope {
        quantity: first.quantity,
        slope: (last.value - first.value) / size_difference,
        unit: first.unit,
        size_unit: first.size_unit,
    })
}

/// Converts a count or a length in bytes.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are far below 2 to the power of 53"
)]
pub(crate) const fn to_f64(count: u64) -> f64 {
    count as f64
}
