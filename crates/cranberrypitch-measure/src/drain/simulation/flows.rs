//! The opening, moving and closing of feeds in the simulation.

use std::time::Instant;

use super::{DRAINING_TARGET, Simulation, SimulationEvent, WorkItem};
use crate::drain::Policy;
use crate::drain::feeds::Flow;

impl Simulation {
    pub(super) fn open_feed(&mut self, feed: usize, now: Instant) {
        if self.feeds[feed].has_ended {
            return;
        }
        let target = self.select_target(&[], now);
        self.open_flow(feed, target, now);
    }

    pub(super) fn open_flow(&mut self, feed: usize, target: usize, now: Instant) {
        // Without `resume_from` a flow starts with the next reading that is produced.
        let is_first = self.feeds[feed].current_flow.is_none();
        let resumes = is_first || self.policy == Policy::Graceful;
        let resume_from = if resumes {
            self.feeds[feed].next_sequence
        } else {
            u64::MAX
        };
        self.flows.push(Flow::new(feed, target, resume_from, now));
        self.send(WorkItem::Flow(self.flows.len() - 1), target, now);
    }

    /// Switches the caller to the new flow and closes the old one.
    pub(super) fn on_feed_opened(&mut self, flow: usize, now: Instant) {
        let feed = self.flows[flow].feed;
        let old = self.feeds[feed].current_flow.replace(flow);
        let Some(old) = old.filter(|old| self.flows[*old].is_open) else {
            return;
        };
        self.figures.feeds_moved += 1;
        let at = now + self.draw_message_delay();
        self.close_flow(old, at);
    }

    pub(super) fn close_flow(&mut self, flow: usize, at: Instant) {
        let is_flow = |item: &(WorkItem, Instant)| matches!(item.0, WorkItem::Flow(f) if f == flow);
        if let Some(item) = self.work_items.iter().position(is_flow) {
            let target = self.flows[flow].target;
            self.event_queue
                .schedule(at, SimulationEvent::FlowClose { item, target });
        }
    }

    pub(super) fn on_flow_close(&mut self, item: usize, target: usize, now: Instant) {
        if let WorkItem::Flow(flow) = self.work_items[item].0 {
            self.flows[flow].is_open = false;
            let feed = self.flows[flow].feed;
            if self.feeds[feed].current_flow == Some(flow) {
                self.feeds[feed].has_ended = true;
            }
            self.finish_item(item, target, now);
        }
    }

    pub(super) fn produce_readings(&mut self, now: Instant) {
        self.produced_readings += 1;
        for flow in 0..self.flows.len() {
            if self.flows[flow].is_open {
                self.send_readings(flow, now);
            }
        }
        let next = now + self.options.reading_interval;
        self.event_queue
            .schedule(next, SimulationEvent::ReadingsDue);
    }

    pub(super) fn send_readings(&mut self, flow: usize, now: Instant) {
        let first = self.flows[flow].next_sequence_to_send;
        // A flow without `resume_from` starts after the readings produced so far.
        let first = if first == u64::MAX {
            self.produced_readings
        } else {
            first
        };
        for sequence in first..self.produced_readings {
            let delay = self.draw_message_delay();
            let at = self.flows[flow].delivery_time(now, delay);
            self.event_queue
                .schedule(at, SimulationEvent::ReadingDelivery { flow, sequence });
        }
        self.flows[flow].next_sequence_to_send = first.max(self.produced_readings);
    }

    pub(super) fn draining_target_flows(&self) -> Vec<usize> {
        let flows = self.flows.iter().enumerate();
        let leaving = flows.filter(|(_, flow)| flow.is_open && flow.target == DRAINING_TARGET);
        leaving.map(|(flow, _)| flow).collect()
    }
}
