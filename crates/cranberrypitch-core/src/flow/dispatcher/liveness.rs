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
    /// The number of queries since the last message.
    unanswered_queries: u32,
    /// The time of the last query since the last message.
    last_query_at: Option<Instant>,
}

/// Tracks which agents reply.
#[derive(Debug, Default)]
pub(super) struct Liveness(FastMap<SocketAddrV4, Activity>);

impl Liveness {
    /// Records a message of an agent.
    pub(super) fn on_message(&mut self, agent: SocketAddrV4, now: Instant) {
        let activity = Activity {
            last_message_at: now,
            unanswered_queries: 0,
            last_query_at: None,
        };
        self.0.insert(agent, activity);
    }

    /// Records a query to an agent. Queries within one timeout count as one.
    pub(super) fn on_query(&mut self, agent: SocketAddrV4, timeout: Duration, now: Instant) {
        let activity = self.0.entry(agent).or_insert(Activity {
            last_message_at: now,
            unanswered_queries: 0,
            last_query_at: None,
        });
        let has_timed_out = |at| now.saturating_duration_since(at) >= timeout;
        if activity.last_query_at.is_none_or(has_timed_out) {
            activity.unanswered_queries = activity.unanswered_queries.saturating_add(1);
            activity.last_query_at = Some(now);
        }
    }

    /// Returns whether an agent that is about to get a packet should be probed with a query.
    pub(super) fn is_probe_due(
        &mut self,
        agent: SocketAddrV4,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let activity = self.0.entry(agent).or_insert(Activity {
            last_message_at: now,
            unanswered_queries: 0,
            last_query_at: None,
        });
        elapsed(activity.last_message_at) >= PROBE_DELAY
            && activity
                .last_query_at
                .is_none_or(|at| elapsed(at) >= timeout)
    }

    /// Returns whether a query to an agent has timed out since its last message.
    pub(super) fn is_query_unanswered(
        &self,
        agent: SocketAddrV4,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        self.0.get(&agent).is_some_and(|activity| {
            let has_timed_out = |at| now.saturating_duration_since(at) >= timeout;
            activity.unanswered_queries > 1
                || activity.unanswered_queries == 1
                    && activity.last_query_at.is_some_and(has_timed_out)
        })
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
