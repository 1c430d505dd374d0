//! Whether a target is there that has sent no status report.
//!
//! An agent that starts beside a running target does not know which flows the target holds. After a loss of power,
//! and while a VM is taken out of service, there is no target: its port refuses connections. That is evidence
//! that no earlier flow is open, without a wait for the end of the lease.

use super::FlowAgent;
use crate::flow::event::FlowEvent;
use crate::flow::message::Action;

/// The results of checks of the target's address.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetPresence {
    /// Whether a check after the start of the agent found no process. A later process gets all its flows
    /// through the agent.
    pub(super) was_absent: bool,
    /// Whether the last check found no process, and no status report has arrived since.
    pub(super) is_absent: bool,
}

impl FlowAgent {
    /// Records that no process has the address of the target.
    pub fn on_target_absent(&mut self) -> Vec<Action<'static>> {
        self.target_presence.is_absent = self.target.is_none();
        if std::mem::replace(&mut self.target_presence.was_absent, true) {
            return Vec::new();
        }
        let agent = self.identity.address;
        vec![Action::RecordEvent(FlowEvent::TargetAbsent { agent })]
    }

    /// Records that a process may have the address of the target by now.
    pub const fn on_target_maybe_present(&mut self) {
        self.target_presence.is_absent = false;
    }

    /// Returns whether the target has sent no status report to this agent.
    pub const fn awaits_first_report(&self) -> bool {
        self.target.is_none()
    }
}
