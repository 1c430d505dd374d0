//! The questions that a balancer may ask far and wide.

use std::time::Instant;

/// Questions a second. A question and its answer take about 150 bytes on the wire, so they use up to
/// half of a link of 10 Mbit/s, the slowest in use.
const PER_SECOND: f64 = 4000.0;

/// Questions that may be asked at once.
const BURST: f64 = 600.0;

/// Limits the questions for flows that are at none of the first agents of their order. After a loss
/// of power every flow is such a flow, and questions without a limit filled the links of balancers.
#[derive(Debug)]
pub(super) struct QuestionBudget {
    available: f64,
    filled_at: Option<Instant>,
}

impl Default for QuestionBudget {
    fn default() -> Self {
        Self {
            available: BURST,
            filled_at: None,
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
}
