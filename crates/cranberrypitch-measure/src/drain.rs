//! `measure drain`: work started during a drain, interrupted requests, and readings of moved feeds.

mod feeds;
mod simulation;

use std::time::Duration;

use cranberrypitch_core::Result;
use serde::Serialize;

use self::simulation::Simulation;
use crate::discrete_event::validate_sizes;

/// The parameters of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct DrainMeasureOptions {
    /// The number of targets; the first one drains.
    pub target_count: usize,
    /// The number of requests that a target runs at the same time.
    pub slots: u32,
    /// The offered load, as a fraction of the capacity of all slots.
    pub load: f64,
    /// The mean of the exponentially distributed service time.
    pub service_time_mean: Duration,
    /// The maximum time from the arrival of a request to its start, over all its attempts.
    pub start_deadline: Duration,
    /// The number of feeds, spread evenly over the targets at the start; one in ten can't move.
    pub feed_count: usize,
    /// The interval between readings of a feed.
    pub reading_interval: Duration,
    /// The minimum one-way delay of a message; the delay is uniform from this value to twice as much.
    pub message_delay_min: Duration,
    /// The time from the start of the run to the drain.
    pub drain_start: Duration,
    /// The simulated time.
    pub duration: Duration,
}

impl Default for DrainMeasureOptions {
    fn default() -> Self {
        Self {
            target_count: 7,
            slots: 4,
            load: 0.8,
            service_time_mean: Duration::from_secs(1),
            start_deadline: Duration::from_secs(5),
            feed_count: 140,
            reading_interval: Duration::from_millis(200),
            message_delay_min: Duration::from_millis(4),
            drain_start: Duration::from_secs(10),
            duration: Duration::from_mins(1),
        }
    }
}

/// The results of one policy in one scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DrainFigures {
    /// When the drain becomes visible to the balancers: `prompt`, `late` or `never`.
    pub scenario: &'static str,
    /// The exit of the agent: `graceful` or `exit_at_once`.
    pub policy: &'static str,
    /// The number of requests and feeds that reached the target after the drain start and were started.
    pub new_work_started: u32,
    /// The number of requests that were waiting at the drain start and were started there.
    pub waiting_started: u32,
    /// The time from the drain start to the last start of a request at the target, in seconds.
    pub last_start_s: f64,
    /// The number of requests and feeds that the target refused after the drain start.
    #[serde(rename = "late_refused")]
    pub refused_after_drain_start: u32,
    /// The number of requests and feeds that were sent to the target after its exit.
    pub sent_after_exit: u32,
    /// The number of requests that were running or waiting at the exit, which got no answer.
    #[serde(rename = "requests_cut")]
    pub requests_interrupted: u32,
    /// The number of feeds that were open at the exit.
    #[serde(rename = "feeds_cut")]
    pub feeds_interrupted: u32,
    /// The number of moves of feeds to another target.
    pub feeds_moved: u32,
    /// The number of readings that callers of feeds never received.
    pub readings_missing: u32,
    /// The number of readings that calling programs received more than once.
    pub readings_repeated: u32,
    /// The number of duplicate readings that the caller library dropped.
    #[serde(rename = "copies_dropped")]
    pub duplicates_dropped: u32,
    /// The time from the drain start to the exit in seconds, or `None` without an exit.
    pub drain_s: Option<f64>,
    /// The number of requests of all callers.
    pub requests: u32,
    /// The number of requests that were done.
    pub done: u32,
    /// The number of requests that ended without being run.
    pub not_run: u32,
    /// The number of requests without an outcome at the end of the simulation.
    pub unfinished: u32,
}

/// The results of all scenarios and policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrainReport {
    /// The seed of the random generators.
    pub seed: u64,
    /// One entry per scenario and policy.
    pub figures: Vec<DrainFigures>,
}

/// The delay after which each balancer excludes the draining target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// One delay per balancer; `None` if the drain never becomes visible.
    pub(crate) drain_visible_after: [Option<Duration>; 3],
}

const SCENARIOS: [Scenario; 3] = [
    Scenario {
        name: "prompt",
        drain_visible_after: [Some(Duration::from_millis(200)); 3],
    },
    Scenario {
        name: "late",
        drain_visible_after: [
            Some(Duration::from_millis(200)),
            Some(Duration::from_secs(5)),
            Some(Duration::from_secs(20)),
        ],
    },
    Scenario {
        name: "never",
        drain_visible_after: [None; 3],
    },
];

/// The exit of the agent after a request to drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    /// The agent follows the drain procedure of the core.
    Graceful,
    /// The process exits at once, and callers reopen feeds without `resume_from`.
    ExitAtOnce,
}

/// Simulates every scenario under every policy with the same arrivals.
///
/// # Errors
///
/// Returns an error for fewer than two targets or a load out of range.
pub fn run(options: &DrainMeasureOptions, seed: u64) -> Result<DrainReport> {
    validate_sizes(options.load, &[("targets", options.target_count >= 2)])?;
    let mut figures = Vec::new();
    for scenario in SCENARIOS {
        for policy in [Policy::Graceful, Policy::ExitAtOnce] {
            figures.push(Simulation::try_new(*options, scenario, policy, seed)?.run());
        }
    }
    Ok(DrainReport { seed, figures })
}
