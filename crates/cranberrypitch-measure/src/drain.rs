//! Measures a drain: new work after it, requests cut, and readings of moved feeds.

mod feeds;
mod simulation;

use std::time::Duration;

use cranberrypitch_core::Result;
use serde::Serialize;

use self::simulation::Simulation;
use crate::discrete_event::validate_sizes;

/// The sizes of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct DrainMeasureOptions {
    /// The targets; the first one drains.
    pub targets: usize,
    /// The slots of each target.
    pub slots: u32,
    /// The demand as a fraction of all slots.
    pub load: f64,
    /// The mean service time, which is distributed exponentially.
    pub service: Duration,
    /// The time within which a request must start, over all its attempts.
    pub deadline: Duration,
    /// The feeds, spread evenly at the start; one in ten can't move.
    pub feeds: usize,
    /// The time between two readings of a feed.
    pub reading_interval: Duration,
    /// The delay of a message one way, to which up to the same again is added at random.
    pub delay: Duration,
    /// When the drain begins.
    pub drain_at: Duration,
    /// The simulated time.
    pub duration: Duration,
}

impl Default for DrainMeasureOptions {
    fn default() -> Self {
        Self {
            targets: 7,
            slots: 4,
            load: 0.8,
            service: Duration::from_secs(1),
            deadline: Duration::from_secs(5),
            feeds: 140,
            reading_interval: Duration::from_millis(200),
            delay: Duration::from_millis(4),
            drain_at: Duration::from_secs(10),
            duration: Duration::from_mins(1),
        }
    }
}

/// The figures of one policy in one scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DrainFigures {
    /// When the balancers learn of the drain.
    pub scenario: &'static str,
    /// How the agent leaves.
    pub policy: &'static str,
    /// Requests that reached the target after the drain began and were started there.
    pub new_work_started: u32,
    /// Requests that waited when the drain began and were started there.
    pub waiting_started: u32,
    /// The time from the drain to the last start at the target, in seconds.
    pub last_start_s: f64,
    /// Requests and feeds that reached the target after the drain began and were refused.
    pub late_refused: u32,
    /// Requests and feeds that were sent to the target after its exit.
    pub sent_after_exit: u32,
    /// Requests that ran or waited at the exit, and got no answer.
    pub requests_cut: u32,
    /// Feeds that were open at the exit.
    pub feeds_cut: u32,
    /// Feeds that moved to another target.
    pub feeds_moved: u32,
    /// Readings that the callers of feeds never got.
    pub readings_missing: u32,
    /// Readings that callers' programs got twice.
    pub readings_repeated: u32,
    /// Copies of readings that the callers' library dropped.
    pub copies_dropped: u32,
    /// The time from the drain to the exit in seconds, or `None` if it did not end.
    pub drain_s: Option<f64>,
    /// Requests that callers made.
    pub requests: u32,
    /// Requests that were done.
    pub done: u32,
    /// Requests that ended as not run.
    pub not_run: u32,
    /// Requests that had no end when the run ended.
    pub unfinished: u32,
}

/// The figures of all scenarios and policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrainReport {
    /// The seed.
    pub seed: u64,
    /// The figures.
    pub figures: Vec<DrainFigures>,
}

/// When each balancer learns of the drain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) learn_after: [Option<Duration>; 3],
}

const SCENARIOS: [Scenario; 3] = [
    Scenario {
        name: "prompt",
        learn_after: [Some(Duration::from_millis(200)); 3],
    },
    Scenario {
        name: "late",
        learn_after: [
            Some(Duration::from_millis(200)),
            Some(Duration::from_secs(5)),
            Some(Duration::from_secs(20)),
        ],
    },
    Scenario {
        name: "never",
        learn_after: [None; 3],
    },
];

/// How the agent leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    /// As the decisions of the core say.
    Graceful,
    /// The process exits when asked to, and callers reopen feeds without `resume_from`.
    ExitAtOnce,
}

/// Runs every scenario under every policy with the same arrivals.
pub fn run(options: &DrainMeasureOptions, seed: u64) -> Result<DrainReport> {
    validate_sizes(options.load, &[("targets", options.targets >= 2)])?;
    let mut figures = Vec::new();
    for scenario in SCENARIOS {
        for policy in [Policy::Graceful, Policy::ExitAtOnce] {
            figures.push(Simulation::try_new(*options, scenario, policy, seed)?.run());
        }
    }
    Ok(DrainReport { seed, figures })
}
