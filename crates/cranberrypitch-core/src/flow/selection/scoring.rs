//! The score of a target, by which candidates are compared.

use std::time::Instant;

use super::AgentSelector;
use super::load_averages::{LoadAverages, slots};
use crate::flow::directory::AgentEntry;

impl AgentSelector {
    /// Returns the expected time for which the next request waits for the requests ahead of it, in mean
    /// service times of the service, with penalties. For targets of equal speed this is the load in
    /// requests per slot.
    pub(super) fn score(&self, agent: &AgentEntry, averages: &LoadAverages, now: Instant) -> f64 {
        let is_load_valid = self.has_valid_load(agent, now);
        let (load, relative_service_time, failure_ratio) = if is_load_valid {
            (
                averages.load(agent),
                averages.relative_service_time(agent),
                self.failure_ratio(agent),
            )
        } else {
            (averages.mean_load, 1.0, 0.0)
        };
        let warmup = agent.warmup_fraction_left(now) * self.options.warmup_penalty;
        let ahead = load + f64::from(self.recent_selections(agent, now)) / slots(agent);
        ahead * relative_service_time + failure_ratio * self.options.failure_penalty + warmup
    }

    /// Returns the failure ratio that counts against a target. The failures before its ejection would
    /// keep a target on trial from the flows by which it is judged.
    fn failure_ratio(&self, agent: &AgentEntry) -> f64 {
        if self.outliers.is_on_trial(agent.record.address) {
            0.0
        } else {
            agent.load.failure_ratio()
        }
    }
}
