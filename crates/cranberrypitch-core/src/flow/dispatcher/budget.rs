//! A rate limit for lookup queries to all agents.

use std::net::SocketAddrV4;
use std::time::Instant;

use crate::collections::FastMap;
use crate::flow::message::LookupQuery;

/// The rate of queries. A batched query takes 16 bytes and its answer 13, so they use up to a fifth of
/// a link of 10 Mbit/s, the slowest in use.
const QUERIES_PER_S: f64 = 12_000.0;

/// The maximum burst of queries, which delays other packets on such a link by 20 ms.
const BURST_QUERIES: f64 = 1500.0;

/// Limits and batches the queries for flows that none of their highest-ranked agents holds. After a
/// power failure this is the case for every flow: unlimited queries saturated the links of balancers,
/// and one datagram per query took most of their CPU time.
#[derive(Debug)]
pub(super) struct QueryBudget {
    available_queries: f64,
    refilled_at: Option<Instant>,
    batches: FastMap<SocketAddrV4, Vec<LookupQuery>>,
}

impl Default for QueryBudget {
    fn default() -> Self {
        Self {
            available_queries: BURST_QUERIES,
            refilled_at: None,
            batches: FastMap::default(),
        }
    }
}

impl QueryBudget {
    /// Takes a number of queries from the budget. Returns whether they may be sent now.
    pub(super) fn try_take(&mut self, queries: usize, now: Instant) -> bool {
        if let Some(refilled_at) = self.refilled_at {
            let elapsed_s = now.saturating_duration_since(refilled_at).as_secs_f64();
            self.available_queries =
                (self.available_queries + elapsed_s * QUERIES_PER_S).min(BURST_QUERIES);
        }
        self.refilled_at = Some(now);
        // A query to more agents than a burst allows takes the whole burst.
        let wanted = f64::from(u32::try_from(queries).unwrap_or(u32::MAX)).min(BURST_QUERIES);
        let is_allowed = wanted <= self.available_queries;
        if is_allowed {
            self.available_queries -= wanted;
        }
        is_allowed
    }

    /// Adds a query to the batches of several agents.
    pub(super) fn add_to_batches(&mut self, agents: &[SocketAddrV4], query: LookupQuery) {
        for agent in agents {
            self.batches.entry(*agent).or_default().push(query);
        }
    }

    /// Takes the batches of queries out, by agent.
    pub(super) fn take_batches(
        &mut self,
    ) -> impl Iterator<Item = (SocketAddrV4, Vec<LookupQuery>)> + use<> {
        std::mem::take(&mut self.batches).into_iter()
    }
}
