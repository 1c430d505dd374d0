//! Averages over the load reports of a service's targets.

use crate::flow::directory::AgentEntry;
use crate::flow::load::AgentLoad;

/// The service times, relative to the mean of the service, that count as equal. Measured times of
/// equal targets differ by less than this.
const EQUAL_SERVICE_TIMES: std::ops::RangeInclusive<f64> = 0.8..=1.25;

/// The minimum and maximum relative service time, so that a wrong measurement has a limited effect.
const RELATIVE_SERVICE_TIME_LIMITS: (f64, f64) = (0.25, 4.0);

/// Averages over the valid load reports of the targets of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadAverages {
    /// The average number of requests that an open flow runs.
    requests_per_flow: f64,
    /// The mean load of the eligible targets, in requests per slot.
    pub(super) mean_load: f64,
    /// The mean service time of the targets that report one, or zero if none does.
    mean_service_time_s: f64,
}

impl LoadAverages {
    /// Returns the averages over agents with valid load reports: the loads over the eligible ones, the
    /// service time over all of the service.
    pub(super) fn of<'a>(
        eligible: impl Iterator<Item = &'a AgentEntry> + Clone,
        of_service: impl Iterator<Item = &'a AgentEntry>,
        min_requests_per_flow: f64,
    ) -> Self {
        let (requests, flows) = eligible
            .clone()
            .fold((0.0, 0.0), |(requests, flows), agent| {
                let load = agent.load;
                (
                    requests + load.mean_requests(),
                    flows + f64::from(load.open_flows),
                )
            });
        let measured = if flows > 0.0 { requests / flows } else { 0.0 };
        let mut averages = Self {
            requests_per_flow: measured.max(min_requests_per_flow),
            mean_load: 0.0,
            mean_service_time_s: mean(of_service.filter_map(service_time_s)),
        };
        averages.mean_load = mean(eligible.map(|agent| averages.load(agent)));
        averages
    }

    /// Returns the load by the last report, in requests per slot: half from the running requests, half
    /// from the open flows, which send more requests later.
    pub(super) fn load(&self, agent: &AgentEntry) -> f64 {
        let AgentLoad {
            running_requests,
            open_flows,
            ..
        } = agent.load;
        let requests = f64::midpoint(f64::from(running_requests), agent.load.mean_requests());
        f64::midpoint(requests, f64::from(open_flows) * self.requests_per_flow) / slots(agent)
    }

    /// Returns the service time of a target relative to the mean of its service. It is 1 if it is not
    /// known or nearly equal to the mean.
    pub(super) fn relative_service_time(&self, agent: &AgentEntry) -> f64 {
        let Some(service_time_s) = service_time_s(agent) else {
            return 1.0;
        };
        let ratio = service_time_s / self.mean_service_time_s;
        if EQUAL_SERVICE_TIMES.contains(&ratio) {
            return 1.0;
        }
        let (min, max) = RELATIVE_SERVICE_TIME_LIMITS;
        ratio.clamp(min, max)
    }
}

/// Returns the number of requests that a target runs concurrently.
pub(super) fn slots(agent: &AgentEntry) -> f64 {
    f64::from(agent.record.slots.get().max(1))
}

fn service_time_s(agent: &AgentEntry) -> Option<f64> {
    let service_time = agent.load.service_time;
    (!service_time.is_zero()).then_some(service_time.as_secs_f64())
}

/// Returns the mean, or zero if there are no values.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    if count == 0 {
        0.0
    } else {
        sum / f64::from(count)
    }
}
