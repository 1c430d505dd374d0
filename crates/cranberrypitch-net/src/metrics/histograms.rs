//! Histograms of request times per organisation and class.

use std::time::Duration;

use cranberrypitch_core::{FastMap, OrganisationId, RequestClass};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The precision of recorded values, in significant digits, which is enough to compare percentiles.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The longest recorded time. Longer ones are recorded as this, which bounds the memory of a
/// histogram.
const MAX_TIME: Duration = Duration::from_hours(1);

/// Histograms of wait and service times per organisation and class, for a bounded number of
/// organisations.
///
/// Organisations beyond the bound share one row, so that many organisation names can't exhaust the
/// memory.
#[derive(Clone, Debug)]
pub struct RequestHistograms {
    max_organisations: usize,
    organisations: FastMap<OrganisationId, [TimeHistograms; RequestClass::ALL.len()]>,
    others: [TimeHistograms; RequestClass::ALL.len()],
}

impl RequestHistograms {
    /// Returns empty histograms with a row for each of up to `max_organisations` organisations.
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
        record(&mut self.times_mut(organisation, class).wait, wait);
    }

    /// Records the time from the start of a request to its end.
    pub fn record_service(
        &mut self,
        organisation: &OrganisationId,
        class: RequestClass,
        service: Duration,
    ) {
        record(&mut self.times_mut(organisation, class).service, service);
    }

    /// Adds all values of `other`.
    pub fn add(&mut self, other: &Self) {
        for (organisation, row) in &other.organisations {
            for (class, times) in RequestClass::ALL.into_iter().zip(row) {
                self.times_mut(organisation, class).add(times);
            }
        }
        for (times, added) in self.others.iter_mut().zip(&other.others) {
            times.add(added);
        }
    }

    /// Returns the percentiles of all rows with values, ordered by organisation; the shared row comes
    /// last.
    pub fn snapshot(&self) -> RequestTimesSnapshot {
        let mut organisations: Vec<_> = self.organisations.iter().collect();
        organisations.sort_by_key(|(organisation, _)| *organisation);
        let organisations = organisations
            .into_iter()
            .map(|(organisation, row)| (Some(organisation), row));
        let rows = organisations.chain([(None, &self.others)]);
        let rows = rows.flat_map(|(organisation, row)| snapshot_row(organisation, row));
        RequestTimesSnapshot {
            rows: rows.collect(),
        }
    }

    fn times_mut(
        &mut self,
        organisation: &OrganisationId,
        class: RequestClass,
    ) -> &mut TimeHistograms {
        let is_full = self.organisations.len() >= self.max_organisations;
        if is_full && !self.organisations.contains_key(organisation) {
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

/// The percentiles of all organisations and classes at one point in time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestTimesSnapshot {
    /// One row for each organisation and class with values.
    pub rows: Vec<OrganisationTimes>,
}

/// The percentiles of one organisation and class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OrganisationTimes {
    /// The organisation, or `None` for those that share a row.
    #[serde(rename = "tenant")]
    pub organisation: Option<OrganisationId>,
    /// The class of the requests.
    pub class: RequestClass,
    /// The time from the arrival of a request to its start.
    pub wait: Percentiles,
    /// The time from the start of a request to its end.
    pub service: Percentiles,
}

/// The percentiles of a histogram, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Percentiles {
    /// The number of recorded values.
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
struct TimeHistograms {
    wait: Histogram<u64>,
    service: Histogram<u64>,
}

impl TimeHistograms {
    fn add(&mut self, other: &Self) {
        add(&mut self.wait, &other.wait);
        add(&mut self.service, &other.service);
    }
}

fn empty_row() -> [TimeHistograms; RequestClass::ALL.len()] {
    std::array::from_fn(|_| TimeHistograms {
        wait: empty_histogram(),
        service: empty_histogram(),
    })
}

/// Returns a histogram whose memory grows with its values, because most organisations use few
/// classes.
fn empty_histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("two digits are allowed")
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
    row: &[TimeHistograms; RequestClass::ALL.len()],
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
