//! Callers' load on a deployment, and what became of it.

mod report;
mod tasks;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cranberrypitch_core::{OrganisationId, RequestClass, ServiceName};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::deployment::Deployment;
use crate::errors::Result;

use self::report::Record;
pub use self::report::{ClassReport, WorkloadReport};
use self::tasks::Caller;

/// The load on one service.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Feeds that stay open.
    pub feeds: usize,
    /// Callers that place one order after another.
    pub order_callers: usize,
    /// Callers that upload one file after another.
    pub upload_callers: usize,
}

/// The load on a deployment.
#[derive(Clone, Debug)]
pub struct WorkloadOptions {
    /// The load on each service.
    pub services: Vec<ServiceLoad>,
    /// Organisations that the callers belong to.
    pub organisations: usize,
    /// The pause of a caller between two requests.
    pub think_time: Duration,
    /// The time within which a request must start.
    pub deadline: Duration,
    /// The length of an uploaded file.
    pub upload_len_bytes: usize,
    /// Decides the content of files.
    pub seed: u64,
}

impl WorkloadOptions {
    /// Returns a light load on each of the services.
    pub fn light(services: &[ServiceName], seed: u64) -> Self {
        let load = |service: &ServiceName| ServiceLoad {
            service: service.clone(),
            feeds: 4,
            order_callers: 4,
            upload_callers: 1,
        };
        Self {
            services: services.iter().map(load).collect(),
            organisations: 4,
            think_time: Duration::from_millis(30),
            deadline: Duration::from_secs(10),
            upload_len_bytes: 1_000_000,
            seed,
        }
    }
}

/// What callers note down.
#[derive(Clone, Debug, Default)]
struct Log(Arc<Mutex<Vec<Record>>>);

impl Log {
    fn note(&self, record: Record) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }

    fn take(&self) -> Vec<Record> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Load that runs until [`Workload::finish`].
#[derive(Debug)]
pub struct Workload {
    log: Log,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Workload {
    /// Starts the load.
    pub fn start(deployment: &Deployment, options: &WorkloadOptions) -> Result<Self> {
        let log = Log::default();
        let stop = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        let mut number = 0;
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
                            number % options.organisations
                        ))?,
                        number,
                        options: options.clone(),
                        log: log.clone(),
                        stop: stop.subscribe(),
                    };
                    number += 1;
                    tasks.spawn(caller.run(class));
                }
            }
        }
        Ok(Self { log, stop, tasks })
    }

    /// Lets every request come to its end and returns what became of all of them, checked against
    /// the journals of the backend servers.
    pub async fn finish(mut self, deployment: &Deployment) -> WorkloadReport {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        WorkloadReport::new(&self.log.take(), deployment)
    }
}
