//! Report of the outcomes of a workload.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cranberrypitch_core::{FastMap, OrganisationId, RequestClass, ServiceName};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::backend::JournalEntry;
use crate::deployment::Deployment;

/// The highest time that the histograms can record.
const MAX_TIME_MS: u64 = 600_000;

/// The end of a request or feed, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// It succeeded.
    Done,
    /// It was refused and did not run, according to the caller.
    NotRun,
    /// The backend server reported an error.
    Failed,
    /// The connection broke, or the outcome is unknown.
    Broken,
    /// The response belongs to another request, or a file arrived with other content.
    Misdelivered,
}

/// A request or feed that has ended.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) service: ServiceName,
    pub(super) class: RequestClass,
    pub(super) organisation: OrganisationId,
    pub(super) key: Box<str>,
    pub(super) end: RequestEnd,
    pub(super) attempts: u32,
    pub(super) elapsed: Duration,
}

/// The outcomes of the requests of one class at one service. Counts of requests include feeds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// The number of connections that were opened.
    pub flows: u64,
    /// The number of requests or feeds.
    pub requests: u64,
    /// Requests that succeeded.
    pub done: u64,
    /// Requests whose connection broke, or whose outcome is unknown to the caller.
    pub broken: u64,
    /// Requests that were refused and not run, according to the caller.
    pub refused_not_run: u64,
    /// Orders that were refused as not run, but ran.
    pub false_refusals: u64,
    /// Requests for which the backend server reported an error.
    pub failed: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders that were reported as done, but did not run.
    pub lost: u64,
    /// Responses that belong to another request, and files that arrived with other content.
    pub misdelivered: u64,
    /// The median time from a request to its end, in ms.
    pub p50_ms: u64,
    /// The 99th percentile of the time from a request to its end, in ms.
    pub p99_ms: u64,
    /// Jain's fairness index of the succeeded requests per organisation; 1 is fair.
    #[serde(rename = "jain_index_of_tenants")]
    pub jain_index_of_organisations: f64,
    /// The maximum number of runs at one target, divided by the mean of all targets.
    pub max_over_mean_per_target: f64,
}

/// The outcomes of a workload.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkloadReport {
    /// Requests whose connection broke, or whose outcome is unknown to the caller.
    pub broken_flows: u64,
    /// Orders that ran more than once.
    pub doubled_orders: u64,
    /// Orders with a wrong outcome: reported as done but not run, or refused as not run but run.
    pub lost_requests: u64,
    /// Responses that belong to another request, files that arrived with other content, and orders
    /// that ran at another service.
    pub misdelivered: u64,
    /// The outcomes by service and class.
    pub services: BTreeMap<Box<str>, BTreeMap<RequestClass, ClassReport>>,
}

impl WorkloadReport {
    pub(super) fn new(records: &[RequestRecord], deployment: &Deployment) -> Self {
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
            let done_count = organisations
                .entry(record.organisation.clone())
                .or_default();
            *done_count += u64::from(record.end == RequestEnd::Done);
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

    /// Returns whether no request was broken, lost or misdelivered and no order ran twice.
    pub const fn is_clean(&self) -> bool {
        self.broken_flows == 0
            && self.doubled_orders == 0
            && self.lost_requests == 0
            && self.misdelivered == 0
    }
}

impl ClassReport {
    fn add(&mut self, record: &RequestRecord, runs: &Runs) {
        self.flows += u64::from(record.attempts);
        self.requests += 1;
        match record.end {
            RequestEnd::Done => self.done += 1,
            RequestEnd::NotRun => self.refused_not_run += 1,
            RequestEnd::Failed => self.failed += 1,
            RequestEnd::Broken => self.broken += 1,
            RequestEnd::Misdelivered => self.misdelivered += 1,
        }
        if record.class == RequestClass::Order {
            let count = runs
                .by_order_key
                .get(&record.key)
                .copied()
                .unwrap_or_default();
            self.doubled += u64::from(count > 1);
            self.lost += u64::from(count == 0 && record.end == RequestEnd::Done);
            self.false_refusals += u64::from(count > 0 && record.end == RequestEnd::NotRun);
        }
    }
}

/// The runs in the journals of the backend servers.
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
                // The order keys of a workload begin with the name of the requested service.
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
    let (mut len, mut sum, mut sum_of_squares) = (0, 0, 0);
    for count in counts {
        len += 1;
        sum += count;
        sum_of_squares += count * count;
    }
    if sum == 0 {
        0.0
    } else {
        ratio(sum * sum, len * sum_of_squares)
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
        .expect("constant bounds that the library accepts")
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
