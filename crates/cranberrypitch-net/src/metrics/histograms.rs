//! Histograms of times per organisation and class.

use std::time::Duration;

use cranberrypitch_core::{FastMap, OrganisationId, RequestClass};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Values are kept to two digits, which is enough to compare percentiles.
const DIGITS: u8 = 2;

/// Longer times count as this one, which bounds the memory of a histogram.
const MAX_TIME: Duration = Duration::from_hours(1);

/// Waits and service times per organisation and class, with a bounded number of organisations.
///
/// Organisations beyond the bound share one row, so a flood of organisation names takes no more
/// memory.
#[derive(Clone, Debug)]
pub struct Histograms {
    max_organisations: usize,
    organisations: FastMap<OrganisationId, [Times; RequestClass::ALL.len()]>,
    others: [Times; RequestClass::ALL.len()],
}

impl Histograms {
    /// Returns empty histograms with room for a number of organisations.
    pub fn new(max_organisations: usize) -> Self {
        Self {
            max_organisations,
            organisations: FastMap::default(),
            others: empty_row(),
        }
    }

    /// Records the time from the arrival of a request to its start.
    pub fn record_wait(
        &mut self,
        organisation: &OrganisationId,
        class: RequestClass,
        wait: Duration,
    ) {
        record(&mut self.times(organisation, class).wait, wait);
    }

    /// Records the time from the start of a request to its end.
    pub fn record_service(
        &mut self,
        organisation: &OrganisationId,
        class: RequestClass,
        service: Duration,
    ) {
        record(&mut self.times(organisation, class).service, service);
    }

    /// Adds all values of other histograms.
    pub fn add(&mut self, other: &Self) {
        for (organisation, row) in &other.organisations {
            for (class, times) in RequestClass::ALL.into_iter().zip(row) {
                self.times(organisation, class).add(times);
            }
        }
        for (times, added) in self.others.iter_mut().zip(&other.others) {
            times.add(added);
        }
    }

    /// Returns the percentiles of all rows with values, ordered by organisation.
    pub fn snapshot(&self) -> Snapshot {
        let mut organisations: Vec<_> = self.organisations.iter().collect();
        organisations.sort_by_key(|(organisation, _)| *organisation);
        let organisations = organisations
            .into_iter()
            .map(|(organisation, row)| (Some(organisation), row));
        let rows = organisations.chain([(None, &self.others)]);
        let rows = rows.flat_map(|(organisation, row)| snapshot_row(organisation, row));
        Snapshot {
            rows: rows.collect(),
        }
    }

    fn times(&mut self, organisation: &OrganisationId, class: RequestClass) -> &mut Times {
        let full = self.organisations.len() >= self.max_organisations;
        if full && !self.organisations.contains_key(organisation) {
            return &mut self.others[class as usize];
        }
        if !self.organisations.contains_key(organisation) {
            self.organisations.insert(organisation.clone(), empty_row());
        }
        let row = self
            .organisations
            .get_mut(organisation)
            .unwrap_or(&mut self.others);
        &mut row[class as usize]
    }
}

/// The percentiles of all organisations and classes at one time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// One row for each organisation and class with values.
    pub rows: Vec<OrganisationTimes>,
}

/// The percentiles of one organisation and class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OrganisationTimes {
    /// The organisation; none for all organisations beyond the bound.
    #[serde(rename = "tenant")]
    pub organisation: Option<OrganisationId>,
    /// The class.
    pub class: RequestClass,
    /// From the arrival of a request to its start.
    pub wait: Percentiles,
    /// From the start of a request to its end.
    pub service: Percentiles,
}

/// Percentiles of times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Percentiles {
    /// The number of values.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest time.
    pub max_ms: f64,
}

#[derive(Clone, Debug)]
struct Times {
    wait: Histogram<u64>,
    service: Histogram<u64>,
}

impl Times {
    fn add(&mut self, other: &Self) {
        add(&mut self.wait, &other.wait);
        add(&mut self.service, &other.service);
    }
}

fn empty_row() -> [Times; RequestClass::ALL.len()] {
    std::array::from_fn(|_| Times {
        wait: empty(),
        service: empty(),
    })
}

/// Returns a histogram that grows with its values, as most organisations use few classes.
fn empty() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("two digits are allowed")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = time.min(MAX_TIME).as_micros();
    let micros = u64::try_from(micros).expect("an hour fits");
    histogram.record(micros).expect("the histogram grows");
}

fn add(histogram: &mut Histogram<u64>, other: &Histogram<u64>) {
    histogram.add(other).expect("the histogram grows");
}

fn snapshot_row(
    organisation: Option<&OrganisationId>,
    row: &[Times; RequestClass::ALL.len()],
) -> impl Iterator<Item = OrganisationTimes> {
    let used = RequestClass::ALL.into_iter().zip(row);
    let used = used.filter(|(_, times)| !times.wait.is_empty() || !times.service.is_empty());
    used.map(move |(class, times)| OrganisationTimes {
        organisation: organisation.cloned(),
        class,
        wait: percentiles(&times.wait),
        service: percentiles(&times.service),
    })
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| milliseconds(histogram.value_at_quantile(quantile));
    Percentiles {
        count: histogram.len(),
        mean_ms: histogram.mean() / 1000.0,
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        max_ms: milliseconds(histogram.max()),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times are below an hour, far from the precision of f64"
)]
fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
