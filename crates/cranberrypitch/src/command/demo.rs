//! Runs every role on loopback in one process, and changes parts under load.

use std::time::Duration;

use cranberrypitch_core::ServiceName;
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_net::operator::check;
use cranberrypitch_standins::backend::ServiceTime;
use cranberrypitch_standins::deployment::TargetVm;
use cranberrypitch_standins::fabric::LinkOptions;
use cranberrypitch_standins::workload::{ServiceLoad, Workload, WorkloadOptions, WorkloadReport};
use cranberrypitch_standins::{Deployment, DeploymentOptions};
use derive_more::Display;
use pico_args::Arguments;
use tokio::time::{sleep, timeout};

use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Runs every role on loopback in one process, for at most 30 s. While feeds, orders and uploads run,
it replaces a balancer and drains a backend server, and then prints what became of the requests.

Usage: cranberrypitch demo [--deployment NAME] [--seed N] [--json]

Options:
  --deployment NAME  valves (7 matchers, 4 tracers) or buttons (7 verkstad, 3 tygbild)
                     [default: valves]
  --seed N           decides delays, placement and the content of files [default: 1]
  --json             prints one JSON object
  --help             prints this text

Exit codes:
  0  nothing was broken, doubled, lost or misdelivered
  1  something was, or the deployment could not be started
  2  bad arguments
";

/// The longest time of all, from the start of the deployment to the report.
const RUN_TIMEOUT: Duration = Duration::from_secs(29);

/// The load before, between and after the changes.
const PHASE: Duration = Duration::from_secs(3);

/// The longest additional delay of a packet on its way to a balancer and back.
const JITTER: Duration = Duration::from_millis(4);

/// The mean time of an order or upload at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(60);

const ORGANISATIONS: usize = 6;
const FEEDS_PER_SERVICE: usize = 24;
const ORDER_CALLERS_PER_SERVICE: usize = 16;
const UPLOAD_CALLERS_PER_SERVICE: usize = 3;
const UPLOAD_LEN_BYTES: usize = 2_000_000;

/// A deployment with its sizes of today (section 1.5 of the design).
struct Sample {
    name: &'static str,
    text: &'static str,
    targets: [(&'static str, usize); 2],
    to_other_domain: Duration,
    to_callers: Duration,
}

const SAMPLES: [Sample; 2] = [
    Sample {
        name: "valves",
        text: include_str!("../../../../samples/valves.json"),
        targets: [("matcher", 7), ("tracer", 4)],
        to_other_domain: Duration::from_millis(4),
        to_callers: Duration::from_millis(1),
    },
    Sample {
        name: "buttons",
        text: include_str!("../../../../samples/buttons.json"),
        targets: [("verkstad", 7), ("tygbild", 3)],
        to_other_domain: Duration::from_millis(3),
        to_callers: Duration::from_millis(3),
    },
];

/// What the demo does to the deployment while it is under load.
#[derive(Debug, Display)]
enum Step {
    #[display("{targets} targets and {balancers} balancers are ready; load begins")]
    Load { targets: usize, balancers: usize },
    #[display("replaces a balancer")]
    ReplaceBalancer,
    #[display("drains a backend server of {_0}")]
    Drain(ServiceName),
    #[display("lets the running requests finish")]
    Finish,
}

struct Options {
    sample: &'static Sample,
    seed: u64,
    json: bool,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let options = Options {
        sample: arguments::optional_with(&mut arguments, "--deployment", find_sample)?
            .unwrap_or(&SAMPLES[0]),
        seed: arguments::optional(&mut arguments, "--seed")?.unwrap_or(1),
        json: arguments.contains("--json"),
    };
    arguments::finish(arguments)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    let ended = runtime.block_on(async { timeout(RUN_TIMEOUT, play(&options)).await });
    // The roles have threads and tasks of their own, which end with the process.
    runtime.shutdown_background();
    let report = ended.unwrap_or_else(|_elapsed| Err(Error::DemoTimeout { limit: RUN_TIMEOUT }))?;
    if options.json {
        output::print_json(&report)?;
    } else {
        output::print(&report)?;
    }
    Ok(if report.is_clean() {
        CommandStatus::Done
    } else {
        CommandStatus::Failed
    })
}

fn find_sample(name: &str) -> std::result::Result<&'static Sample, &'static str> {
    let found = SAMPLES.iter().find(|sample| sample.name == name);
    found.ok_or("allowed are valves and buttons")
}

async fn play(options: &Options) -> Result<WorkloadReport> {
    let mut deployment = Deployment::start(options.deployment()?).await?;
    let show = |step: Step| {
        if !options.json {
            output::note(&step);
        }
    };
    show(Step::Load {
        targets: deployment.targets().len(),
        balancers: deployment.balancers().len(),
    });
    let workload = Workload::start(&deployment, &options.workload(&deployment))?;
    sleep(PHASE).await;
    show(Step::ReplaceBalancer);
    deployment.replace_balancer(0).await?;
    sleep(PHASE).await;
    show(Step::Drain(deployment.targets()[0].service().clone()));
    deployment.targets_mut()[0].stop().await?;
    sleep(PHASE).await;
    show(Step::Finish);
    Ok(workload.finish(&deployment).await)
}

impl Options {
    fn deployment(&self) -> Result<DeploymentOptions> {
        let sample = self.sample;
        // Most packets cross failure domains on their way to the target. The way back starts at a
        // balancer in the target's own domain.
        let to_balancers = LinkOptions::new()
            .delay(sample.to_callers + sample.to_other_domain)
            .jitter(JITTER);
        let to_callers = LinkOptions::new().delay(sample.to_callers).jitter(JITTER);
        let mut options = DeploymentOptions::new(sample.parse()?, self.seed)
            .links(to_balancers, to_callers)
            .service_time(ServiceTime::Exponential(SERVICE_TIME));
        for (name, count) in sample.targets {
            let service =
                ServiceName::try_new(name).map_err(cranberrypitch_standins::Error::from)?;
            options = options.targets(service, count);
        }
        Ok(options)
    }

    fn workload(&self, deployment: &Deployment) -> WorkloadOptions {
        let mut services: Vec<_> = deployment.targets().iter().map(TargetVm::service).collect();
        services.dedup();
        let load = |service: &ServiceName| ServiceLoad {
            service: service.clone(),
            feeds: FEEDS_PER_SERVICE,
            order_callers: ORDER_CALLERS_PER_SERVICE,
            upload_callers: UPLOAD_CALLERS_PER_SERVICE,
        };
        WorkloadOptions {
            services: services.into_iter().map(load).collect(),
            organisations: ORGANISATIONS,
            upload_len_bytes: UPLOAD_LEN_BYTES,
            ..WorkloadOptions::light(&[], self.seed)
        }
    }
}

impl Sample {
    fn parse(&self) -> Result<ConfigText> {
        check(self.text).map_err(|problems| Error::Text {
            file: self.name.into(),
            problems,
        })
    }
}
