//! The scenarios of the propagation of a change.

use serde::Serialize;

/// The fleet, network and faults of one propagation run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// The name of the scenario in the report.
    pub name: &'static str,
    /// The number of failure domains.
    #[serde(rename = "domains")]
    pub failure_domains: usize,
    /// The number of processes in each failure domain.
    pub processes_per_domain: usize,
    /// The number of watchers among the processes of each failure domain.
    pub watchers_per_domain: usize,
    /// The number of peers that each process selects; links are bidirectional.
    #[serde(rename = "peers")]
    pub peers_per_process: usize,
    /// The fraction of messages that are lost, from 0 to 1.
    #[serde(rename = "loss")]
    pub loss_rate: f64,
    /// The one-way delay between failure domains in milliseconds.
    pub link_delay_ms: u64,
    /// The mean time between polls in milliseconds.
    #[serde(rename = "poll_ms")]
    pub poll_interval_mean_ms: u64,
    /// Whether a process announces a new revision to its peers immediately.
    #[serde(rename = "announce")]
    pub announces_changes: bool,
    /// The time from the start in which only one watcher can reach the store, in milliseconds.
    pub store_down_ms: u64,
    /// The mean pause of a watcher after it has read a head, in milliseconds. The change occurs at a random
    /// time of each watcher's pause.
    pub watch_pause_ms: u64,
    /// The time from the start in which the first failure domain is partitioned from the others and the
    /// store, in milliseconds.
    #[serde(rename = "cut_ms")]
    pub partition_ms: u64,
}

impl Scenario {
    /// Returns the current size of the fleet, without faults.
    pub const fn current_fleet() -> Self {
        Self {
            name: "today",
            failure_domains: 4,
            processes_per_domain: 6,
            watchers_per_domain: 2,
            peers_per_process: 3,
            loss_rate: 0.0,
            link_delay_ms: 4,
            poll_interval_mean_ms: 1000,
            announces_changes: true,
            store_down_ms: 0,
            watch_pause_ms: 0,
            partition_ms: 0,
        }
    }

    /// Returns the size of the fleet that is planned for in two years, without faults.
    pub const fn planned_fleet() -> Self {
        Self {
            name: "target",
            failure_domains: 23,
            processes_per_domain: 826,
            ..Self::current_fleet()
        }
    }

    /// Returns the scenarios that are measured by default.
    pub fn defaults() -> Vec<Self> {
        let lossy = Self {
            name: "target, 20% loss",
            loss_rate: 0.2,
            ..Self::planned_fleet()
        };
        vec![
            Self::current_fleet(),
            Self {
                name: "today, 20% loss",
                loss_rate: 0.2,
                ..Self::current_fleet()
            },
            Self::planned_fleet(),
            lossy.clone(),
            Self {
                name: "target, 20% loss, watchers pace their reads",
                watch_pause_ms: 17_500,
                ..lossy.clone()
            },
            Self {
                name: "target, 20% loss, polls only",
                announces_changes: false,
                ..lossy.clone()
            },
            Self {
                name: "target, 20% loss, store down after one watcher read it",
                store_down_ms: 60_000,
                ..lossy.clone()
            },
            Self {
                name: "target, 20% loss, one domain cut off for 10 s",
                partition_ms: 10_000,
                ..lossy
            },
        ]
    }
}
