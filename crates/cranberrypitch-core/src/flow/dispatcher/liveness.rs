//! Which agents answer.
//!
//! An agent that is in use reports several times a second. One that was not heard for longer is
//! asked about a flow that it holds; one that leaves several questions unanswered is unresponsive,
//! and its flows are looked for elsewhere.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::collections::FastMap;

/// An agent that was heard within this time is not asked; it outlasts two lost reports.
const HEARD_LIFETIME: Duration = Duration::from_millis(500);

/// Questions without an answer that make an agent unresponsive. With 1 packet of 300 lost, as on a
/// healthy network, three are lost once in 27 million.
const QUESTIONS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Heard {
    /// The last message.
    at: Instant,
    /// Questions since then.
    asked: u32,
    /// The last question.
    asked_at: Option<Instant>,
}

/// What a balancer knows of the agents' answers.
#[derive(Debug, Default)]
pub(super) struct Liveness(FastMap<SocketAddrV4, Heard>);

impl Liveness {
    /// Notes a message of an agent.
    pub(super) fn on_heard(&mut self, agent: SocketAddrV4, now: Instant) {
        let heard = Heard {
            at: now,
            asked: 0,
            asked_at: None,
        };
        self.0.insert(agent, heard);
    }

    /// Notes that an agent was asked. Questions within the time for an answer count as one.
    pub(super) fn on_asked(&mut self, agent: SocketAddrV4, timeout: Duration, now: Instant) {
        let heard = self.0.entry(agent).or_insert(Heard {
            at: now,
            asked: 0,
            asked_at: None,
        });
        let is_due = |at| now.saturating_duration_since(at) >= timeout;
        if heard.asked_at.is_none_or(is_due) {
            heard.asked = heard.asked.saturating_add(1);
            heard.asked_at = Some(now);
        }
    }

    /// Returns whether an agent that gets a packet should be asked whether it is there.
    pub(super) fn is_question_due(
        &mut self,
        agent: SocketAddrV4,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let heard = self.0.entry(agent).or_insert(Heard {
            at: now,
            asked: 0,
            asked_at: None,
        });
        elapsed(heard.at) >= HEARD_LIFETIME
            && heard.asked_at.is_none_or(|at| elapsed(at) >= timeout)
    }

    /// Returns whether an agent left several questions unanswered.
    pub(super) fn is_unresponsive(
        &self,
        agent: SocketAddrV4,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        self.0.get(&agent).is_some_and(|heard| {
            let is_due = |at| now.saturating_duration_since(at) >= timeout;
            heard.asked > QUESTIONS
                || heard.asked == QUESTIONS && heard.asked_at.is_some_and(is_due)
        })
    }

    /// Forgets an agent.
    pub(super) fn forget(&mut self, agent: SocketAddrV4) {
        self.0.remove(&agent);
    }
}
