//! Histograms of times per tenant and class.

use std::time::Duration;

use cranberrypitch_core::{Class, FastMap, TenantId};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Values are kept to two digits, which is enough to compare percentiles.
const DIGITS: u8 = 2;

/// Longer times count as this one, which bounds the memory of a histogram.
const MAX_TIME: Duration = Duration::from_hours(1);

/// Waits and service times per tenant and class, with a bounded number of tenants.
///
/// Tenants beyond the bound share one row, so a flood of tenant names takes no more memory.
#[derive(Clone, Debug)]
pub struct Histograms {
    max_tenants: usize,
    tenants: FastMap<TenantId, [Times; Class::ALL.len()]>,
    others: [Times; Class::ALL.len()],
}

impl Histograms {
    /// Returns empty histograms with room for a number of tenants.
    pub fn new(max_tenants: usize) -> Self {
        Self {
            max_tenants,
            tenants: FastMap::default(),
            others: empty_row(),
        }
    }

    /// Records the time from the arrival of a request to its start.
    pub fn record_wait(&mut self, tenant: &TenantId, class: Class, wait: Duration) {
        record(&mut self.times(tenant, class).wait, wait);
    }

    /// Records the time from the start of a request to its end.
    pub fn record_service(&mut self, tenant: &TenantId, class: Class, service: Duration) {
        record(&mut self.times(tenant, class).service, service);
    }

    /// Adds all values of other histograms.
    pub fn add(&mut self, other: &Self) {
        for (tenant, row) in &other.tenants {
            for (class, times) in Class::ALL.into_iter().zip(row) {
                self.times(tenant, class).add(times);
            }
        }
        for (times, added) in self.others.iter_mut().zip(&other.others) {
            times.add(added);
        }
    }

    /// Returns the percentiles of all rows with values, ordered by tenant.
    pub fn snapshot(&self) -> Snapshot {
        let mut tenants: Vec<_> = self.tenants.iter().collect();
        tenants.sort_by_key(|(tenant, _)| *tenant);
        let tenants = tenants.into_iter().map(|(tenant, row)| (Some(tenant), row));
        let rows = tenants.chain([(None, &self.others)]);
        let rows = rows.flat_map(|(tenant, row)| snapshot_row(tenant, row));
        Snapshot {
            rows: rows.collect(),
        }
    }

    fn times(&mut self, tenant: &TenantId, class: Class) -> &mut Times {
        let full = self.tenants.len() >= self.max_tenants;
        if full && !self.tenants.contains_key(tenant) {
            return &mut self.others[class as usize];
        }
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.clone(), empty_row());
        }
        let row = self.tenants.get_mut(tenant).unwrap_or(&mut self.others);
        &mut row[class as usize]
    }
}

/// The percentiles of all tenants and classes at one time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// One row for each tenant and class with values.
    pub rows: Vec<TenantTimes>,
}

/// The percentiles of one tenant and class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TenantTimes {
    /// The tenant; none for all tenants beyond the bound.
    pub tenant: Option<TenantId>,
    /// The class.
    pub class: Class,
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

fn empty_row() -> [Times; Class::ALL.len()] {
    std::array::from_fn(|_| Times {
        wait: empty(),
        service: empty(),
    })
}

/// Returns a histogram that grows with its values, as most tenants use few classes.
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
    tenant: Option<&TenantId>,
    row: &[Times; Class::ALL.len()],
) -> impl Iterator<Item = TenantTimes> {
    let used = Class::ALL.into_iter().zip(row);
    let used = used.filter(|(_, times)| !times.wait.is_empty() || !times.service.is_empty());
    used.map(move |(class, times)| TenantTimes {
        tenant: tenant.cloned(),
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
