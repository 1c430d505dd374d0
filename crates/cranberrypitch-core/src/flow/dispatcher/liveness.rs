//! Which agents answer queries.
//!
//! A balancer probes an agent whose registration has ended with a lookup query for a flow that it holds. If
//! the agent does not answer, it counts as unresponsive, and its flows are looked up at other agents.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::collections::FastMap;

/// The time since its last message after which an agent is probed; it covers two lost reports.
const PROBE_DELAY: Duration = Duration::from_millis(500);

/// The latest messages from and queries to an agent.
#[derive(Clone, Copy, Debug)]
struct Activity {
    /// The time of the last message, or of the first packet or query to the agent.
    last_message_at: Instant,
    /// The times of the first and the last query since the last message.
    queried_at: Option<(Instant, Instant)>,
}

impl Activity {
    const fn new(now: Instant) -> Self {
        Self {
            last_message_at: now,
            queried_at: None,
        }
    }
}

/// Tracks which agents reply.
#[derive(Debug, Default)]
pub(super) struct Liveness(FastMap<SocketAddrV4, Activity>);

impl Liveness {
    /// Records a message of an agent.
    pub(super) fn on_message(&mut self, agent: SocketAddrV4, now: Instant) {
        self.0.insert(agent, Activity::new(now));
    }

    /// Records a query to an agent.
    pub(super) fn on_query(&mut self, agent: SocketAddrV4, now: Instant) {
        let activity = self.0.entry(agent).or_insert(Activity::new(now));
        let first = activity.queried_at.map_or(now, |(first, _)| first);
        activity.queried_at = Some((first, now));
    }

    /// Returns whether an agent that is about to get a packet should be probed with a query.
    pub(super) fn is_probe_due(
        &self,
        agent: SocketAddrV4,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        // An agent that has sent no message need not be waited for.
        let Some(activity) = self.0.get(&agent) else {
            return true;
        };
        let is_query_due = |(_, last)| elapsed(last) >= timeout;
        elapsed(activity.last_message_at) >= PROBE_DELAY
            && activity.queried_at.is_none_or(is_query_due)
    }

    /// Returns whether a query to an agent has timed out since its last message.
    pub(super) fn is_query_unanswered(
        &self,
        agent: SocketAddrV4,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let queried_at = self.0.get(&agent).and_then(|activity| activity.queried_at);
        queried_at.is_some_and(|(first, _)| now.saturating_duration_since(first) >= timeout)
    }

    /// Returns the time since the last message of an agent, or since the first packet or query to it.
    pub(super) fn silence(&self, agent: SocketAddrV4, now: Instant) -> Duration {
        let activity = self.0.get(&agent);
        let since = |activity: &Activity| now.saturating_duration_since(activity.last_message_at);
        activity.map_or(Duration::ZERO, since)
    }

    /// Removes an agent that is no longer in the directory.
    pub(super) fn remove(&mut self, agent: SocketAddrV4) {
        self.0.remove(&agent);
    }
}
