//! The admission policies behind a common interface.

use std::time::Instant;

use cranberrypitch_core::admission::{
    Action, AdmissionController, AdmissionOptions, ColdStart, Event,
};
use cranberrypitch_core::{ConnectionLimit, Result, Slots};

use super::fifo::FifoQueue;
use super::{AdmissionMeasureOptions, Policy, Scenario, WARM_UP};

const CONNECTION_LIMIT: ConnectionLimit = ConnectionLimit::new(2000);
const QUEUE_LEN: u32 = 512;
const ORGANISATION_QUEUE_LEN: u32 = 32;

#[derive(Debug)]
pub(super) enum AdmissionPolicy {
    OrganisationQueues(Box<AdmissionController>),
    Fifo(FifoQueue),
}

impl AdmissionPolicy {
    /// Creates the queue of a policy.
    pub(super) fn try_new(
        options: &AdmissionMeasureOptions,
        scenario: Scenario,
        policy: Policy,
        start: Instant,
    ) -> Result<Self> {
        let slots = Slots::new(options.slots);
        let is_cold = scenario == Scenario::ColdStart;
        let cold_start = ColdStart {
            first_slots: if is_cold { Slots::new(1) } else { slots },
            ramp: WARM_UP,
        };
        Ok(match policy {
            Policy::OrganisationQueues => {
                let admission_options = AdmissionOptions::builder(slots, CONNECTION_LIMIT)
                    .organisation_queue_len(ORGANISATION_QUEUE_LEN)
                    .queue_len(QUEUE_LEN)
                    .cold_start(cold_start)
                    .build()?;
                Self::OrganisationQueues(Box::new(AdmissionController::new(
                    admission_options,
                    start,
                )))
            }
            Policy::Fifo => Self::Fifo(FifoQueue::new(options.slots, QUEUE_LEN, false)),
            Policy::FifoWithDeadline => Self::Fifo(FifoQueue::new(options.slots, QUEUE_LEN, true)),
        })
    }

    pub(super) fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match self {
            Self::OrganisationQueues(admission) => admission.handle(event, now),
            Self::Fifo(fifo) => fifo.handle(event, now),
        }
    }

    pub(super) fn next_tick(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::OrganisationQueues(admission) => admission.next_tick(now),
            Self::Fifo(fifo) => fifo.next_tick(),
        }
    }
}
