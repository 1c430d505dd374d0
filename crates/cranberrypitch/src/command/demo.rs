//! The verb `demo`, which runs a deployment on loopback in one process and changes it under load.

use std::time::Duration;

use cranberrypitch_core::ServiceName;
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_net::config_editor::check;
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
Runs a whole deployment on loopback in one process for at most 30 s. While feeds, orders and
uploads run, it replaces a balancer and drains a backend server. Then it prints the outcomes of all
requests.

Usage: cranberrypitch demo [--deployment NAME] [--seed N] [--json]

Options:
  --deployment NAME  valves (7 matchers, 4 tracers) or buttons (7 verkstad, 3 tygbild)
                     [default: valves]
  --seed N           the seed of delays, placement and the content of files [default: 1]
  --json             prints one JSON object
  --help             prints this text

Exit codes:
  0  no request was broken, doubled, lost or misdelivered
  1  a request was, or the deployment could not be started
  2  invalid arguments
";

/// The time limit from the start of the deployment to the report.
const RUN_TIMEOUT: Duration = Duration::from_secs(29);

/// The duration of the load before, between and after the changes.
const PHASE_DURATION: Duration = Duration::from_secs(3);

/// The maximum additional delay of a packet in each direction.
const MAX_JITTER: Duration = Duration::from_millis(4);

/// The mean service time of an order or upload at a backend server.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(60);

const ORGANISATIONS: usize = 6;
const FEEDS_PER_SERVICE: usize = 24;
const ORDER_CALLERS_PER_SERVICE: usize = 16;
const UPLOAD_CALLERS_PER_SERVICE: usize = 3;
const UPLOAD_LEN_BYTES: usize = 2_000_000;

/// A sample deployment with its current size (section 1.5 of the design).
struct SampleDeployment {
    name: &'static str,
    config_text: &'static str,
    target_counts: [(&'static str, usize); 2],
    cross_domain_delay: Duration,
    caller_delay: Duration,
}

const SAMPLE_DEPLOYMENTS: [SampleDeployment; 2] = [
    SampleDeployment {
        name: "valves",
        config_text: include_str!("../../../../samples/valves.json"),
        target_counts: [("matcher", 7), ("tracer", 4)],
        cross_domain_delay: Duration::from_millis(4),
        caller_delay: Duration::from_millis(1),
    },
    SampleDeployment {
        name: "buttons",
        config_text: include_str!("../../../../samples/buttons.json"),
        target_counts: [("verkstad", 7), ("tygbild", 3)],
        cross_domain_delay: Duration::from_millis(3),
        caller_delay: Duration::from_millis(3),
    },
];

/// A step of the demo.
#[derive(Debug, Display)]
enum DemoStep {
    #[display("{targets} targets and {balancers} balancers are ready, starting the load")]
    Load { targets: usize, balancers: usize },
    #[display("replacing a balancer")]
    ReplaceBalancer,
    #[display("draining a backend server of {_0}")]
    Drain(ServiceName),
    #[display("waiting for the running requests")]
    Finish,
}

struct Options {
    sample: &'static SampleDeployment,
    seed: u64,
    is_json: bool,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let options = Options {
        sample: arguments::optional_with(&mut arguments, "--deployment", find_sample)?
            .unwrap_or(&SAMPLE_DEPLOYMENTS[0]),
        seed: arguments::optional(&mut arguments, "--seed")?.unwrap_or(1),
        is_json: arguments.contains("--json"),
    };
    arguments::finish(arguments)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    let result = runtime.block_on(async { timeout(RUN_TIMEOUT, run_demo(&options)).await });
    // The components have their own threads and tasks, which end with the process.
    runtime.shutdown_background();
    let report =
        result.unwrap_or_else(|_elapsed| Err(Error::DemoTimeout { limit: RUN_TIMEOUT }))?;
    if options.is_json {
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

fn find_sample(name: &str) -> std::result::Result<&'static SampleDeployment, &'static str> {
    let found = SAMPLE_DEPLOYMENTS.iter().find(|sample| sample.name == name);
    found.ok_or("must be valves or buttons")
}

async fn run_demo(options: &Options) -> Result<WorkloadReport> {
    let mut deployment = Deployment::start(options.deployment()?).await?;
    let print_step = |step: DemoStep| {
        if !options.is_json {
            output::print_progress(&step);
        }
    };
    print_step(DemoStep::Load {
        targets: deployment.targets().len(),
        balancers: deployment.balancers().len(),
    });
    let workload = Workload::start(&deployment, &options.workload(&deployment))?;
    sleep(PHASE_DURATION).await;
    print_step(DemoStep::ReplaceBalancer);
    deployment.replace_balancer(0).await?;
    sleep(PHASE_DURATION).await;
    print_step(DemoStep::Drain(deployment.targets()[0].service().clone()));
    deployment.targets_mut()[0].stop().await?;
    sleep(PHASE_DURATION).await;
    print_step(DemoStep::Finish);
    Ok(workload.finish(&deployment).await)
}

impl Options {
    fn deployment(&self) -> Result<DeploymentOptions> {
        let sample = self.sample;
        // Most packets to a target cross failure domains. Packets to callers are returned by a
        // balancer in the target's own domain.
        let to_balancers = LinkOptions::new()
            .delay(sample.caller_delay + sample.cross_domain_delay)
            .jitter(MAX_JITTER);
        let to_callers = LinkOptions::new()
            .delay(sample.caller_delay)
            .jitter(MAX_JITTER);
        let mut options = DeploymentOptions::new(sample.parse()?, self.seed)
            .links(to_balancers, to_callers)
            .service_time(ServiceTime::Exponential(MEAN_SERVICE_TIME));
        for (name, count) in sample.target_counts {
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
            organisation_count: ORGANISATIONS,
            upload_len_bytes: UPLOAD_LEN_BYTES,
            ..WorkloadOptions::light(&[], self.seed)
        }
    }
}

impl SampleDeployment {
    fn parse(&self) -> Result<ConfigText> {
        check(self.config_text).map_err(|problems| Error::Text {
            file: self.name.into(),
            problems,
        })
    }
}
