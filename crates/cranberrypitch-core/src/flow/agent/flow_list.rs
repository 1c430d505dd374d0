//! The set of the target's flows in the record of an agent that has ended admission, and when admission may
//! begin again.
//!
//! Balancers reset flows that the set in the store excludes. So no flow is admitted from the time at which a
//! record with the set may reach the store until a later record without it is known to be written.

use std::time::Instant;

use super::FlowAgent;
use super::target_process::TargetProcess;
use crate::flow::directory::AgentRecord;
use crate::flow::held_flows::HeldFlows;
use crate::flow::message::Action;
use crate::target::TargetState;

/// The position of a record in the order in which an agent passed its records to the registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordNumber(u64);

impl RecordNumber {
    /// Returns a number from its value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the value of the number, which is at least 1 for the record of an agent.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A record of an agent for the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedRecord {
    /// The number of the record, which is higher than those of all earlier ones.
    pub number: RecordNumber,
    /// The record.
    pub record: AgentRecord,
}

/// The set of flows in the agent's record, and what the store may hold of it.
#[derive(Debug, Default)]
pub(super) struct FlowList {
    flows: Option<HeldFlows>,
    /// The number of records that were passed to the registration.
    passed_records: u64,
    /// The last record with a set that may be in the store.
    last_with_flows: Option<RecordNumber>,
    /// The record that the store is known to hold.
    written: Option<RecordNumber>,
    /// Whether the first record was passed to the registration, and the first attempt to write it has not ended.
    is_first_write_pending: bool,
}

impl FlowList {
    /// Returns whether the store may hold a record of this process with a set.
    pub(super) fn may_be_stored(&self) -> bool {
        self.last_with_flows
            .is_some_and(|listed| self.written.is_none_or(|written| written <= listed))
    }

    /// Returns whether the first record is being written. Until then, the store may hold the record of an earlier
    /// process at the address, with a set.
    pub(super) const fn is_first_write_pending(&self) -> bool {
        self.is_first_write_pending
    }

    /// Returns the number of the next record. A record with a set counts as stored from now on.
    fn pass_record(&mut self) -> RecordNumber {
        self.is_first_write_pending |= self.passed_records == 0;
        self.passed_records += 1;
        let number = RecordNumber(self.passed_records);
        if self.flows.is_some() {
            self.last_with_flows = Some(number);
        }
        number
    }
}

impl FlowAgent {
    /// Returns the record for the registration in the store, which may be written from now on.
    pub fn registration_record(&mut self, now: Instant) -> NumberedRecord {
        let number = self.flow_list.pass_record();
        let record = AgentRecord {
            held_flows: self.flow_list.flows.clone(),
            ..self.record(now)
        };
        NumberedRecord { number, record }
    }

    /// Sets which record the store is known to hold. None if that is not known, as before the first write and
    /// after the store was restored from a copy.
    pub const fn set_written_record(&mut self, number: Option<RecordNumber>) {
        self.flow_list.written = number;
    }

    /// Processes the end of the first attempt to write a record: admits the SYNs that waited for it. After a failed
    /// attempt too, as an agent that starts while the store is down serves flows; its reports replace the record
    /// of an earlier process at balancers.
    pub fn on_first_write_ended(&mut self, now: Instant) -> Vec<Action<'static>> {
        self.flow_list.is_first_write_pending = false;
        self.pass_waiting_requests(now)
    }

    /// Takes the set of the target's flows if the target accepts no new ones, or drops it if the agent may admit
    /// flows again or does not know all of them. The next process of a stopping agent admits flows for a target
    /// that does not drain, possibly before its own record is written, so there is no set in that case.
    pub(super) fn update_flow_list(&mut self, now: Instant) {
        let state = self.target.as_ref().map(TargetProcess::state);
        let is_closed_to_flows = matches!(state, Some(TargetState::Draining | TargetState::Gone));
        self.flow_list.flows = if is_closed_to_flows && !self.may_hold_unknown_flows(now) {
            HeldFlows::new(self.flows.open_flows())
        } else {
            None
        };
    }
}
