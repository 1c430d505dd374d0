//! The questions that a balancer may ask far and wide.

use std::net::SocketAddrV4;
use std::time::Instant;

use crate::collections::FastMap;
use crate::flow::message::LookupQuery;

/// Questions a second. A gathered question takes 16 bytes and its answer 13, so they use up to a fifth
/// of a link of 10 Mbit/s, the slowest in use.
const PER_SECOND: f64 = 12_000.0;

/// Questions that may be asked at once; they hold up other packets on such a link for 20 ms.
const BURST: f64 = 1500.0;

/// Limits and gathers the questions for flows that are at none of the first agents of their order. After
/// a loss of power every flow is such a flow. Questions without a limit filled the links of balancers,
/// and a datagram for each took most of their processor time.
#[derive(Debug)]
pub(super) struct QuestionBudget {
    available: f64,
    filled_at: Option<Instant>,
    gathered: FastMap<SocketAddrV4, Vec<LookupQuery>>,
}

impl Default for QuestionBudget {
    fn default() -> Self {
        Self {
            available: BURST,
            filled_at: None,
            gathered: FastMap::default(),
        }
    }
}

impl QuestionBudget {
    /// Takes a number of questions. Returns whether they may be asked now.
    pub(super) fn take(&mut self, questions: usize, now: Instant) -> bool {
        if let Some(filled_at) = self.filled_at {
            let elapsed_s = now.saturating_duration_since(filled_at).as_secs_f64();
            self.available = (self.available + elapsed_s * PER_SECOND).min(BURST);
        }
        self.filled_at = Some(now);
        // A question to more agents than a burst allows takes the whole burst.
        let wanted = f64::from(u32::try_from(questions).unwrap_or(u32::MAX)).min(BURST);
        let may_ask = wanted <= self.available;
        if may_ask {
            self.available -= wanted;
        }
        may_ask
    }

    /// Notes a question to several agents, to be asked with others.
    pub(super) fn gather(&mut self, agents: &[SocketAddrV4], question: LookupQuery) {
        for agent in agents {
            self.gathered.entry(*agent).or_default().push(question);
        }
    }

    /// Returns the gathered questions by agent.
    pub(super) fn take_gathered(
        &mut self,
    ) -> impl Iterator<Item = (SocketAddrV4, Vec<LookupQuery>)> + use<> {
        std::mem::take(&mut self.gathered).into_iter()
    }
}
