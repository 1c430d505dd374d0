//! How feeds open, move and close in the simulation.

use std::time::Instant;

use super::{LEAVING, Simulation, SimulationEvent, Work};
use crate::drain::Policy;
use crate::drain::feeds::Flow;

impl Simulation {
    pub(super) fn open_feed(&mut self, feed: usize, now: Instant) {
        if self.feeds[feed].has_ended {
            return;
        }
        let target = self.place(&[], now);
        self.open_flow(feed, target, now);
    }

    pub(super) fn open_flow(&mut self, feed: usize, target: usize, now: Instant) {
        // Without `resume_from` a flow starts with the next reading produced.
        let is_first = self.feeds[feed].flow.is_none();
        let resumes = is_first || self.policy == Policy::Graceful;
        let resume_from = if resumes {
            self.feeds[feed].next
        } else {
            u64::MAX
        };
        self.flows.push(Flow::new(feed, target, resume_from, now));
        self.send(Work::Flow(self.flows.len() - 1), target, now);
    }

    /// The caller reads the new flow from now on and closes the old one.
    pub(super) fn feed_opened(&mut self, flow: usize, now: Instant) {
        let feed = self.flows[flow].feed;
        let old = self.feeds[feed].flow.replace(flow);
        let Some(old) = old.filter(|old| self.flows[*old].is_open) else {
            return;
        };
        self.figures.feeds_moved += 1;
        let at = now + self.delay();
        self.close_flow(old, at);
    }

    pub(super) fn close_flow(&mut self, flow: usize, at: Instant) {
        let is_flow = |work: &(Work, Instant)| matches!(work.0, Work::Flow(f) if f == flow);
        if let Some(work) = self.work.iter().position(is_flow) {
            let target = self.flows[flow].target;
            self.event_queue
                .schedule(at, SimulationEvent::Close { work, target });
        }
    }

    pub(super) fn close(&mut self, work: usize, target: usize, now: Instant) {
        if let Work::Flow(flow) = self.work[work].0 {
            self.flows[flow].is_open = false;
            let feed = self.flows[flow].feed;
            if self.feeds[feed].flow == Some(flow) {
                self.feeds[feed].has_ended = true;
            }
            self.finish_work(work, target, now);
        }
    }

    pub(super) fn produce_readings(&mut self, now: Instant) {
        self.produced += 1;
        for flow in 0..self.flows.len() {
            if self.flows[flow].is_open {
                self.send_readings(flow, now);
            }
        }
        let next = now + self.options.reading_interval;
        self.event_queue.schedule(next, SimulationEvent::Readings);
    }

    pub(super) fn send_readings(&mut self, flow: usize, now: Instant) {
        let first = self.flows[flow].next_to_send;
        // A flow without `resume_from` begins behind everything produced so far.
        let first = if first == u64::MAX {
            self.produced
        } else {
            first
        };
        for sequence in first..self.produced {
            let delay = self.delay();
            let at = self.flows[flow].delivery(now, delay);
            self.event_queue
                .schedule(at, SimulationEvent::Reading { flow, sequence });
        }
        self.flows[flow].next_to_send = first.max(self.produced);
    }

    pub(super) fn leaving_flows(&self) -> Vec<usize> {
        let flows = self.flows.iter().enumerate();
        let leaving = flows.filter(|(_, flow)| flow.is_open && flow.target == LEAVING);
        leaving.map(|(flow, _)| flow).collect()
    }
}
