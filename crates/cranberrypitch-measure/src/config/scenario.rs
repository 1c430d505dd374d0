//! The ways in which a change spreads.

use serde::Serialize;

/// A way in which a change spreads.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// What the scenario is about.
    pub name: &'static str,
    /// The failure domains.
    pub domains: usize,
    /// The processes of each failure domain.
    pub processes_per_domain: usize,
    /// The watchers of each failure domain.
    pub watchers_per_domain: usize,
    /// The peers that each process chooses; links are used both ways.
    pub peers: usize,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The one-way delay between failure domains in milliseconds.
    pub link_delay_ms: u64,
    /// The mean time between polls in milliseconds.
    pub poll_ms: u64,
    /// Whether a process announces a new revision to its peers at once.
    pub announce: bool,
    /// The time for which the store is down for all watchers but one, in milliseconds.
    pub store_down_ms: u64,
    /// The mean time for which a watcher pauses after it read a head, in milliseconds. The change finds
    /// each watcher at a random time of its pause.
    pub watch_pause_ms: u64,
    /// The time for which the first failure domain is cut off from the others and the store, in
    /// milliseconds.
    pub cut_ms: u64,
}

impl Scenario {
    /// Returns the sizes of today without faults.
    pub const fn today() -> Self {
        Self {
            name: "today",
            domains: 4,
            processes_per_domain: 6,
            watchers_per_domain: 2,
            peers: 3,
            loss: 0.0,
            link_delay_ms: 4,
            poll_ms: 1000,
            announce: true,
            store_down_ms: 0,
            watch_pause_ms: 0,
            cut_ms: 0,
        }
    }

    /// Returns the sizes in two years without faults.
    pub const fn target() -> Self {
        Self {
            name: "target",
            domains: 23,
            processes_per_domain: 826,
            ..Self::today()
        }
    }

    /// Returns the scenarios that are measured by default.
    pub fn usual() -> Vec<Self> {
        let lossy = Self {
            name: "target, 20% loss",
            loss: 0.2,
            ..Self::target()
        };
        vec![
            Self::today(),
            Self {
                name: "today, 20% loss",
                loss: 0.2,
                ..Self::today()
            },
            Self::target(),
            lossy.clone(),
            Self {
                name: "target, 20% loss, watchers pace their reads",
                watch_pause_ms: 17_500,
                ..lossy.clone()
            },
            Self {
                name: "target, 20% loss, polls only",
                announce: false,
                ..lossy.clone()
            },
            Self {
                name: "target, 20% loss, store down after one watcher read it",
                store_down_ms: 60_000,
                ..lossy.clone()
            },
            Self {
                name: "target, 20% loss, one domain cut off for 10 s",
                cut_ms: 10_000,
                ..lossy
            },
        ]
    }
}
