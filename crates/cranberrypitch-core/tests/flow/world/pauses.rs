//! Daemons of a simulated deployment that stand still, and what arrives late.

use std::time::Duration;

use cranberrypitch_core::flow::Arrival;

use super::simulation::{BALANCERS, Simulation};
use crate::support::syn;

impl Simulation {
    /// Lets an agent neither receive nor send anything for a time, while its target keeps running.
    pub(super) fn pause_agent(&mut self, index: u8, time: Duration, keeps_messages: bool) {
        let until = self.now + time;
        let agent = self.agents.get_mut(&index).unwrap();
        if agent.process.is_some() {
            agent.paused_until = agent.paused_until.max(Some(until));
            agent.keeps_messages = keeps_messages;
        }
    }

    /// Lets a balancer stand still for a time.
    pub(super) fn pause_balancer(&mut self, balancer: u8, time: Duration) {
        let until = self.now + time;
        let entry = self.balancers.get_mut(&balancer).unwrap();
        entry.paused_until = entry.paused_until.max(Some(until));
        entry.paused_since.get_or_insert(self.now);
    }

    pub(super) fn is_balancer_paused(&self, balancer: u8) -> bool {
        let entry = self.balancers.get(&balancer);
        entry.is_some_and(|entry| entry.paused_until.is_some_and(|until| self.now < until))
    }

    /// Lets the daemons whose pause is over read what they were sent.
    pub(super) fn end_pauses(&mut self) {
        for balancer in 1..=BALANCERS {
            if !self.is_balancer_paused(balancer) {
                self.read_kept_packets(balancer);
            }
        }
        let agents: Vec<_> = self.agents.keys().copied().collect();
        for index in agents {
            let now = self.now;
            let agent = self.agents.get_mut(&index).unwrap();
            if !agent.is_away(now) {
                let kept = std::mem::take(&mut agent.kept_messages);
                for (from, message) in kept {
                    self.deliver_to_agent(from, index, &message);
                }
            }
        }
    }

    /// Lets a balancer read the packets of callers, and then the messages of agents, that it was sent.
    fn read_kept_packets(&mut self, balancer: u8) {
        let entry = self.balancers.get_mut(&balancer).unwrap();
        let paused_since = entry.paused_since.take().unwrap_or(self.now);
        let arrival = Arrival::since(paused_since, self.now - paused_since, self.now);
        let packets = std::mem::take(&mut entry.kept_packets);
        let messages = std::mem::take(&mut entry.kept_messages);
        for header in packets {
            self.send_arriving(balancer, &header, arrival);
        }
        for (from, message) in messages {
            self.deliver_to_balancer(from, balancer, message);
        }
    }

    /// Delivers a copy of the SYN of an earlier flow, which was in the socket of a balancer that is behind with its work.
    pub(super) fn deliver_late_syn(&mut self, port: u16, balancer: u8, earlier: u32) {
        let caller = self.callers.get_mut(&port).unwrap();
        // Another target may accept the copy.
        caller.syn_count += 1;
        let key = caller.service.flow(port);
        let arrival = Arrival::since(caller.opened_at, Duration::ZERO, self.now);
        self.send_arriving(balancer, &syn(key, earlier), arrival);
    }

    /// Delivers a single late report of an earlier process of a target.
    pub(super) fn deliver_late_report(&mut self, index: u8) {
        let agent = &self.agents[&index];
        if !agent.is_lost() {
            let (service, process) = (agent.target.service, agent.target.process);
            self.deliver_report(index, service, process.saturating_sub(1), 1);
        }
    }
}
