//! The callers of a workload.

use std::time::{Duration, Instant};

use cranberrypitch_caller::{
    self as caller, Feed, FeedOptions, OrderOptions, ServiceEndpoint, UploadOptions, place_order,
    upload,
};
use cranberrypitch_core::{OrganisationId, Outcome, RequestClass};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::watch;

use super::report::{RequestEnd, RequestRecord};
use super::{RequestLog, WorkloadOptions};

/// The maximum number of attempts to reopen a broken feed.
const MAX_FEED_ATTEMPTS: u32 = 30;

/// The delay between two attempts to reopen a broken feed.
const FEED_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The timeout for the outcome of an order that may have started.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller of a workload.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) transport: caller::Caller,
    pub(super) endpoint: ServiceEndpoint,
    pub(super) organisation: OrganisationId,
    pub(super) number: usize,
    pub(super) options: WorkloadOptions,
    pub(super) log: RequestLog,
    pub(super) stop: watch::Receiver<bool>,
}

impl Caller {
    /// Sends requests of one class until the workload stops.
    pub(super) async fn run(mut self, class: RequestClass) {
        if class == RequestClass::Feed {
            self.follow_feed().await;
            return;
        }
        let mut count = 0;
        while !*self.stop.borrow() {
            let started = Instant::now();
            let (key, end, attempts) = match class {
                RequestClass::Upload => self.send_file(count).await,
                _ => self.send_order(count).await,
            };
            self.record(class, key, end, attempts, started.elapsed());
            count += 1;
            let pause = tokio::time::sleep(self.options.think_time);
            tokio::select! {
                () = pause => {}
                _ = self.stop.changed() => {}
            }
        }
    }

    fn record(
        &self,
        class: RequestClass,
        key: Box<str>,
        end: RequestEnd,
        attempts: u32,
        elapsed: Duration,
    ) {
        self.log.record(RequestRecord {
            service: self.endpoint.service.clone(),
            class,
            organisation: self.organisation.clone(),
            key,
            end,
            attempts,
            elapsed,
        });
    }

    async fn send_order(&self, count: usize) -> (Box<str>, RequestEnd, u32) {
        let key: Box<str> = format!("{}-{}-{count}", self.endpoint.service, self.number).into();
        let options = OrderOptions {
            endpoint: self.endpoint.clone(),
            organisation: self.organisation.clone(),
            deadline: self.options.deadline,
            response_timeout: RESPONSE_TIMEOUT,
        };
        let body = format!("{{\"key\":\"{key}\"}}");
        match place_order(&self.transport, &options, body.as_bytes()).await {
            Ok(report) => {
                let end = match report.outcome {
                    Outcome::Done => {
                        let response = String::from_utf8_lossy(&report.response_body);
                        let has_own_key = response.contains(&format!("\"{key}\""));
                        if has_own_key {
                            RequestEnd::Done
                        } else {
                            RequestEnd::Misdelivered
                        }
                    }
                    outcome => end_for(&outcome),
                };
                (key, end, report.attempts)
            }
            // An order that may have started ends with a report, so this one was not sent.
            Err(_) => (key, RequestEnd::NotRun, 1),
        }
    }

    async fn send_file(&self, count: usize) -> (Box<str>, RequestEnd, u32) {
        let key: Box<str> = format!("{}-{}-{count}", self.endpoint.service, self.number).into();
        let mut file = vec![0; self.options.upload_len_bytes];
        let seed = self.options.seed ^ ((self.number as u64) << 32) ^ count as u64;
        Pcg64::seed_from_u64(seed).fill_bytes(&mut file);
        let options = UploadOptions {
            endpoint: self.endpoint.clone(),
            organisation: self.organisation.clone(),
            deadline: self.options.deadline,
            is_repeatable: false,
        };
        match upload(&self.transport, &options, &file).await {
            Ok(report) => {
                let end = match report.outcome {
                    Outcome::Done => RequestEnd::Done,
                    outcome => end_for(&outcome),
                };
                (key, end, report.attempts)
            }
            Err(caller::Error::HashMismatch { .. }) => (key, RequestEnd::Misdelivered, 1),
            Err(_) => (key, RequestEnd::NotRun, 1),
        }
    }

    async fn follow_feed(&mut self) {
        let started = Instant::now();
        let key: Box<str> = format!("{}-{}", self.endpoint.service, self.number).into();
        let options = FeedOptions {
            endpoint: self.endpoint.clone(),
            organisation: self.organisation.clone(),
            resume_from: None,
            max_attempts: MAX_FEED_ATTEMPTS,
            retry_delay: FEED_RETRY_DELAY,
        };
        let (end, attempts) = match Feed::open(self.transport.clone(), options).await {
            Ok(feed) => self.read_feed(feed).await,
            Err(_) => (RequestEnd::NotRun, 1),
        };
        self.record(RequestClass::Feed, key, end, attempts, started.elapsed());
    }

    async fn read_feed(&mut self, mut feed: Feed) -> (RequestEnd, u32) {
        loop {
            let reading = tokio::select! {
                reading = feed.next() => reading,
                _ = self.stop.changed() => break,
            };
            if !matches!(reading, Ok(Some(_))) {
                return (RequestEnd::Broken, 1);
            }
        }
        feed.close();
        let stats = feed.stats();
        let end = if stats.disconnects > 0 {
            RequestEnd::Broken
        } else {
            RequestEnd::Done
        };
        (end, 1 + stats.moves + stats.disconnects)
    }
}

/// Maps the outcome of a request to its end for the caller.
fn end_for(outcome: &Outcome) -> RequestEnd {
    match outcome {
        Outcome::Done => RequestEnd::Done,
        Outcome::NotRun(_) | Outcome::Redirect(_) => RequestEnd::NotRun,
        Outcome::Failed => RequestEnd::Failed,
        _ => RequestEnd::Broken,
    }
}
