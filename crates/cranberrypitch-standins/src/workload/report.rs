//! What became of a workload.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cranberrypitch_core::{FastMap, OrganisationId, RequestClass, ServiceName};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::backend::JournalEntry;
use crate::deployment::Deployment;

/// The longest time that the histograms tell apart.
const MAX_TIME_MS: u64 = 600_000;

/// How one request or feed ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Done,
    NotRun,
    Failed,
    Broken,
    Misdelivered,
}

/// One request or feed.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) service: ServiceName,
    pub(super) class: RequestClass,
    pub(super) organisation: OrganisationId,
    pub(super) key: Box<str>,
    pub(super) end: End,
    pub(super) attempts: u32,
    pub(super) elapsed: Duration,
}

/// What became of the requests of one class at one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Connections that were opened.
    pub flows: u64,
    /// Requests or feeds.
    pub requests: u64,
    /// Those that ended as they should.
    pub done: u64,
    /// Those whose connection broke so that the caller noticed.
    pub broken: u64,
    /// Those that the caller was told were not run.
    pub refused_not_run: u64,
    /// Those that were not run as the caller was told, yet ran.
    pub false_refusals: u64,
    /// Those that failed at the backend server.
    pub failed: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders that the caller was told have run, yet did not.
    pub lost: u64,
    /// Answers that belong to another request, or files that arrived with other content.
    pub misdelivered: u64,
    /// The median time to the answer.
    pub p50_ms: u64,
    /// The 99th percentile of the time to the answer.
    pub p99_ms: u64,
    /// Jain's index of the requests done for each organisation; 1 is even.
    #[serde(rename = "jain_index_of_tenants")]
    pub jain_index_of_organisations: f64,
    /// The most runs at one target over the mean of all targets.
    pub max_over_mean_per_target: f64,
}

/// What became of a workload.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkloadReport {
    /// Feeds, orders and uploads whose connection broke so that the caller noticed.
    pub broken_flows: u64,
    /// Orders that ran more than once.
    pub doubled_orders: u64,
    /// Requests without a true answer: told as run but not run, or told as not run but run.
    pub lost_requests: u64,
    /// Answers that belong to another request, and requests that reached another service.
    pub misdelivered: u64,
    /// The classes of each service.
    pub services: BTreeMap<Box<str>, BTreeMap<RequestClass, ClassReport>>,
}

impl WorkloadReport {
    pub(super) fn new(records: &[Record], deployment: &Deployment) -> Self {
        let runs = Runs::read(deployment);
        let mut times: BTreeMap<(Box<str>, RequestClass), Histogram<u64>> = BTreeMap::new();
        let mut done: BTreeMap<(Box<str>, RequestClass), BTreeMap<OrganisationId, u64>> =
            BTreeMap::new();
        let mut report = Self {
            misdelivered: runs.misdirected,
            ..Self::default()
        };
        for record in records {
            let service: Box<str> = record.service.as_str().into();
            let classes = report.services.entry(service.clone()).or_default();
            classes.entry(record.class).or_default().add(record, &runs);
            let organisations = done.entry((service.clone(), record.class)).or_default();
            let of_organisation = organisations
                .entry(record.organisation.clone())
                .or_default();
            *of_organisation += u64::from(record.end == End::Done);
            if let Ok(elapsed_ms) = u64::try_from(record.elapsed.as_millis()) {
                let histogram = times
                    .entry((service, record.class))
                    .or_insert_with(new_histogram);
                histogram.saturating_record(elapsed_ms);
            }
        }
        for (service, classes) in &mut report.services {
            for (class, entry) in classes {
                if let Some(histogram) = times.get(&(service.clone(), *class)) {
                    entry.p50_ms = histogram.value_at_quantile(0.5);
                    entry.p99_ms = histogram.value_at_quantile(0.99);
                }
                if let Some(organisations) = done.get(&(service.clone(), *class)) {
                    entry.jain_index_of_organisations = jain_index(organisations.values().copied());
                }
                entry.max_over_mean_per_target = runs.max_over_mean(service, *class);
                report.broken_flows += entry.broken;
                report.doubled_orders += entry.doubled;
                report.lost_requests += entry.lost + entry.false_refusals;
                report.misdelivered += entry.misdelivered;
            }
        }
        report
    }

    /// Returns whether nothing was broken, doubled, lost or misdelivered.
    pub const fn is_clean(&self) -> bool {
        self.broken_flows == 0
            && self.doubled_orders == 0
            && self.lost_requests == 0
            && self.misdelivered == 0
    }
}

impl ClassReport {
    fn add(&mut self, record: &Record, runs: &Runs) {
        self.flows += u64::from(record.attempts);
        self.requests += 1;
        match record.end {
            End::Done => self.done += 1,
            End::NotRun => self.refused_not_run += 1,
            End::Failed => self.failed += 1,
            End::Broken => self.broken += 1,
            End::Misdelivered => self.misdelivered += 1,
        }
        if record.class == RequestClass::Order {
            let count = runs
                .by_order_key
                .get(&record.key)
                .copied()
                .unwrap_or_default();
            self.doubled += u64::from(count > 1);
            self.lost += u64::from(count == 0 && record.end == End::Done);
            self.false_refusals += u64::from(count > 0 && record.end == End::NotRun);
        }
    }
}

/// What ran at the backend servers.
#[derive(Debug, Default)]
struct Runs {
    by_order_key: FastMap<Box<str>, u64>,
    by_target: BTreeMap<(Box<str>, RequestClass), Vec<u64>>,
    misdirected: u64,
}

impl Runs {
    fn read(deployment: &Deployment) -> Self {
        let mut runs = Self::default();
        for target in deployment.targets() {
            let service: Box<str> = target.service().as_str().into();
            let journal = target.journal();
            for class in RequestClass::ALL {
                let of_class = |e: &&JournalEntry| e.class == class;
                let count = journal.iter().filter(of_class).count() as u64;
                runs.by_target
                    .entry((service.clone(), class))
                    .or_default()
                    .push(count);
            }
            for key in journal.into_iter().filter_map(|entry| entry.order_key) {
                // The keys of a workload start with the name of the service they are meant for.
                runs.misdirected += u64::from(!key.starts_with(&*service));
                *runs.by_order_key.entry(key).or_default() += 1;
            }
        }
        runs
    }

    fn max_over_mean(&self, service: &str, class: RequestClass) -> f64 {
        let Some(counts) = self.by_target.get(&(service.into(), class)) else {
            return 0.0;
        };
        let sum: u64 = counts.iter().sum();
        let max = counts.iter().max().copied().unwrap_or_default();
        if sum == 0 {
            0.0
        } else {
            ratio(max * counts.len() as u64, sum)
        }
    }
}

fn jain_index(counts: impl Iterator<Item = u64>) -> f64 {
    let (mut number, mut sum, mut sum_of_squares) = (0, 0, 0);
    for count in counts {
        number += 1;
        sum += count;
        sum_of_squares += count * count;
    }
    if sum == 0 {
        0.0
    } else {
        ratio(sum * sum, number * sum_of_squares)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one run are far below 2^52"
)]
fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator as f64
}

fn new_histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants that the library allows")
}

impl fmt::Display for WorkloadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:<7} {:>6} {:>8} {:>6} {:>7} {:>8} {:>6} {:>8} {:>5} {:>7} {:>7} {:>9}",
            "service",
            "class",
            "flows",
            "requests",
            "done",
            "broken",
            "not run",
            "failed",
            "doubled",
            "lost",
            "p50 ms",
            "p99 ms",
            "max/mean",
        )?;
        for (service, classes) in &self.services {
            for (class, c) in classes {
                writeln!(
                    f,
                    "{service:<10} {class:<7} {:>6} {:>8} {:>6} {:>7} {:>8} {:>6} {:>8} {:>5} \
                     {:>7} {:>7} {:>9.2}",
                    c.flows,
                    c.requests,
                    c.done,
                    c.broken,
                    c.refused_not_run,
                    c.failed,
                    c.doubled,
                    c.lost,
                    c.p50_ms,
                    c.p99_ms,
                    c.max_over_mean_per_target,
                )?;
            }
        }
        write!(
            f,
            "broken flows {}, doubled orders {}, lost requests {}, misdelivered {}",
            self.broken_flows, self.doubled_orders, self.lost_requests, self.misdelivered,
        )
    }
}
