//! Drains, losses of power, lost VMs and lost histories of the store in the simulation.

use std::time::Duration;

use cranberrypitch_core::TargetState;

use super::simulation::{
    Agent, BALANCERS, LEASE_TTL, MAX_SELECTABLE_LOST_VMS, REPORT_TIME, Simulation,
};

impl Simulation {
    /// Lets a target begin to drain, or takes its drain back.
    pub(super) fn toggle_drain(&mut self, index: u8) {
        let target = &mut self.agents.get_mut(&index).unwrap().target;
        target.is_draining = !target.is_draining;
        self.report_status(index);
    }

    /// Lets a target drain, and take that back while the store carries out no write.
    pub(super) fn take_back_drain(&mut self, index: u8, blocked: Duration) {
        if !self.agents[&index].target.is_draining {
            self.toggle_drain(index);
        }
        self.advance(REPORT_TIME / 2);
        self.block_writes(blocked);
        // The drain ends with the second report that does not name it.
        self.toggle_drain(index);
        self.advance(REPORT_TIME / 2);
    }

    /// Lets all VMs lose power. Those whose targets drain never return, and of the others those that are chosen by
    /// `is_lost`. The others start again at once, without flows.
    pub(super) fn lose_power(&mut self, is_lost: impl Fn(u8) -> bool) {
        self.messages.clear();
        let agents: Vec<_> = self.agents.keys().copied().collect();
        for index in agents {
            let agent = &self.agents[&index];
            if agent.is_lost() {
                continue;
            }
            let service = agent.target.service;
            if agent.target.is_draining || is_lost(index) {
                self.lose_vm(index);
            }
            if !self.agents[&index].is_lost() {
                self.start_vm(index, service);
            }
        }
        for balancer in 1..=BALANCERS {
            self.start_balancer(balancer);
        }
    }

    /// Returns the number of lost VMs that balancers may select, as the store lists them as ready.
    fn selectable_lost_vms(&self) -> usize {
        let is_selectable = |(index, agent): &(&u8, &Agent)| {
            let record = self.store.records.get(index);
            agent.is_lost() && record.is_some_and(|record| record.state == TargetState::Ready)
        };
        self.agents.iter().filter(is_selectable).count()
    }

    /// Loses a VM for good. Its registration ends with its lease. No more than [`MAX_SELECTABLE_LOST_VMS`] are lost
    /// at a time unless they drain.
    pub(super) fn lose_vm(&mut self, index: u8) {
        let lease_end = self.now + LEASE_TTL;
        let may_be_lost = self.selectable_lost_vms() < MAX_SELECTABLE_LOST_VMS
            || self.agents[&index].target.is_draining;
        let agent = self.agents.get_mut(&index).unwrap();
        if agent.is_lost() || !may_be_lost {
            return;
        }
        agent.process = None;
        agent.restart_at = None;
        agent.is_write_pending = false;
        agent.lost_until = Some(lease_end);
        agent.target.flows.clear();
        agent.target.process = u64::MAX;
    }

    /// Discards the store's history, so that each balancer has to list the agents again.
    pub(super) fn discard_history(&mut self) {
        for balancer in self.balancers.values_mut() {
            balancer.has_history = false;
        }
    }
}
