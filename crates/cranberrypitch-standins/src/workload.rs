//! Generator of load on a deployment, with a report of the outcomes.

mod report;
mod tasks;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cranberrypitch_core::{OrganisationId, RequestClass, ServiceName};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::deployment::Deployment;
use crate::errors::Result;

use self::report::RequestRecord;
pub use self::report::{ClassReport, WorkloadReport};
use self::tasks::Caller;

/// The load on one service.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    /// The name of the service.
    pub service: ServiceName,
    /// The number of feeds, which stay open until the workload ends.
    pub feeds: usize,
    /// The number of callers that place orders one after another.
    pub order_callers: usize,
    /// The number of callers that upload files one after another.
    pub upload_callers: usize,
}

/// Options of the load on a deployment.
#[derive(Clone, Debug)]
pub struct WorkloadOptions {
    /// The load on each service.
    pub services: Vec<ServiceLoad>,
    /// The number of organisations over which the callers are distributed.
    pub organisation_count: usize,
    /// The pause of a caller between two requests.
    pub think_time: Duration,
    /// The time within which a request must start.
    pub deadline: Duration,
    /// The length of an uploaded file in bytes.
    pub upload_len_bytes: usize,
    /// The seed for the content of files.
    pub seed: u64,
}

impl WorkloadOptions {
    /// Returns the options of a light load: 4 feeds, 4 order callers and one upload caller per service.
    pub fn light(services: &[ServiceName], seed: u64) -> Self {
        let load = |service: &ServiceName| ServiceLoad {
            service: service.clone(),
            feeds: 4,
            order_callers: 4,
            upload_callers: 1,
        };
        Self {
            services: services.iter().map(load).collect(),
            organisation_count: 4,
            think_time: Duration::from_millis(30),
            deadline: Duration::from_secs(10),
            upload_len_bytes: 1_000_000,
            seed,
        }
    }
}

/// The requests that have ended, shared by all callers.
#[derive(Clone, Debug, Default)]
struct RequestLog(Arc<Mutex<Vec<RequestRecord>>>);

impl RequestLog {
    fn record(&self, record: RequestRecord) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }

    fn take(&self) -> Vec<RequestRecord> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A running workload. Its callers send requests until [`Workload::finish`].
#[derive(Debug)]
pub struct Workload {
    log: RequestLog,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Workload {
    /// Starts the callers on the current tokio runtime.
    ///
    /// Returns an error if the deployment has no such service or a transport can't be made.
    pub fn start(deployment: &Deployment, options: &WorkloadOptions) -> Result<Self> {
        let log = RequestLog::default();
        let stop = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        let mut caller_number = 0;
        for load in &options.services {
            let classes = [
                (RequestClass::Feed, load.feeds),
                (RequestClass::Order, load.order_callers),
                (RequestClass::Upload, load.upload_callers),
            ];
            for (class, count) in classes {
                for _ in 0..count {
                    let caller = Caller {
                        transport: deployment.caller()?,
                        endpoint: deployment.endpoint(&load.service)?,
                        organisation: OrganisationId::try_new(&format!(
                            "shop-{}",
                            caller_number % options.organisation_count
                        ))?,
                        number: caller_number,
                        options: options.clone(),
                        log: log.clone(),
                        stop: stop.subscribe(),
                    };
                    caller_number += 1;
                    tasks.spawn(caller.run(class));
                }
            }
        }
        Ok(Self { log, stop, tasks })
    }

    /// Stops the callers, waits for their pending requests and compares the outcomes with the journals
    /// of the backend servers.
    pub async fn finish(mut self, deployment: &Deployment) -> WorkloadReport {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        WorkloadReport::new(&self.log.take(), deployment)
    }
}
