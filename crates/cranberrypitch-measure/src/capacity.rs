//! `measure capacity`: bytes, processor time and memory against sizes.
//!
//! Each figure is taken at three sizes or more, and its slope is given with its unit.

mod flows;
mod messages;
mod orders;
mod placement;
mod reports;

use pico_args::Arguments;
use serde::Serialize;

use crate::errors::{Error, Result};

/// A figure at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What was measured.
    pub figure: &'static str,
    /// What the size counts.
    pub per: &'static str,
    /// The size.
    pub size: u32,
    /// The value.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
}

/// How much a figure grows with its size, between the smallest and the largest one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// What was measured.
    pub figure: &'static str,
    /// The growth for each one more of `per`.
    pub slope: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// What the size counts.
    pub per: &'static str,
}

/// The figures of one part.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Part {
    /// The name of the part.
    pub name: &'static str,
    /// The figures.
    pub rows: Vec<Row>,
    /// The slope of each figure that was taken at more than one size.
    pub slopes: Vec<Slope>,
}

type Measure = fn() -> Result<Vec<Row>>;

/// The parts in the order in which they run; later ones leave more memory behind.
const PARTS: [(&str, Measure); 5] = [
    ("messages", messages::measure),
    ("placement", placement::measure),
    ("orders", orders::measure),
    ("reports", reports::measure),
    ("flows", flows::measure),
];

/// Runs the verb with the options of the command line.
pub fn run(arguments: &mut Arguments) -> Result<String> {
    let as_json = arguments.contains("--json");
    let name: Option<String> = arguments.opt_value_from_str("--part")?;
    let parts = measure(name.as_deref())?;
    let text = if as_json {
        serde_json::to_string(&parts)?
    } else {
        serde_json::to_string_pretty(&parts)?
    };
    Ok(text)
}

/// Measures one part, or all of them.
pub fn measure(name: Option<&str>) -> Result<Vec<Part>> {
    let wanted = PARTS.iter().filter(|(n, _)| name.is_none_or(|w| w == *n));
    let measured: Result<Vec<_>> = wanted.map(|(name, run)| Ok(part(name, run()?))).collect();
    match measured {
        Ok(parts) if parts.is_empty() => Err(Error::out_of_range(
            "part",
            "messages, placement, orders, reports or flows",
        )),
        measured => measured,
    }
}

fn part(name: &'static str, rows: Vec<Row>) -> Part {
    let mut slopes: Vec<Slope> = Vec::new();
    for row in &rows {
        if !slopes.iter().any(|s| s.figure == row.figure) {
            slopes.extend(slope(row, &rows));
        }
    }
    Part { name, rows, slopes }
}

fn slope(first: &Row, rows: &[Row]) -> Option<Slope> {
    let last = rows.iter().rfind(|row| row.figure == first.figure)?;
    let step = f64::from(last.size) - f64::from(first.size);
    (step > 0.0).then(|| Slope {
        figure: first.figure,
        slope: (last.value - first.value) / step,
        unit: first.unit,
        per: first.per,
    })
}

/// Converts a count or a size for a row.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are far below 2 to the power of 53"
)]
pub(crate) const fn as_f64(count: u64) -> f64 {
    count as f64
}
