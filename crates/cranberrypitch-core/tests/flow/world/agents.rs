//! The agents of a simulated deployment: their processes, registrations and status reports.

use std::collections::VecDeque;
use std::time::Duration;

use cranberrypitch_core::flow::{AgentIdentity, FlowAgent, FlowAgentOptions, NumberedRecord};
use cranberrypitch_core::{Incarnation, TargetState};

use super::simulation::{Agent, Service, Simulation};
use super::targets::Target;
use crate::support::{agent_address, domain, service, status_report, syn};

/// The time between the starts of two processes, in milliseconds.
const START_INTERVAL_MS: u64 = 1000;

/// The time after which the platform gives the address of a lost VM to another one.
const ADDRESS_REUSE_TIME: Duration = Duration::from_secs(2);

/// The sequence number of the last report of a lost target that arrived in time.
pub(super) const LATE_SEQUENCE: u64 = 40;

impl Simulation {
    /// Adds an agent with a target, which no running balancer knows yet.
    pub(super) fn add_agent(&mut self, service: Service) {
        let index = u8::try_from(self.agents.len()).unwrap() + 1;
        self.start_vm(index, service);
    }

    /// Starts a VM with an agent and a target at an address, and registers it.
    pub(super) fn start_vm(&mut self, index: u8, service: Service) {
        self.start_processes(index, service);
        self.report_status(index);
        self.register(index);
    }

    /// Starts an agent and a target at an address.
    fn start_processes(&mut self, index: u8, service: Service) {
        self.processes_started += 1;
        let target = Target::new(service, self.processes_started);
        let process = Some(self.flow_agent(index, service, self.processes_started));
        let agent = Agent {
            process,
            restart_at: None,
            paused_until: None,
            keeps_messages: false,
            kept_messages: VecDeque::new(),
            passed_record: None,
            is_write_pending: false,
            lost_until: None,
            target,
        };
        self.agents.insert(index, agent);
    }

    fn flow_agent(&self, index: u8, served: Service, process: u64) -> FlowAgent {
        let identity = AgentIdentity {
            address: agent_address(index),
            service: service(served.name()),
            failure_domain: domain("a"),
            incarnation: Incarnation::new(process),
            started_unix_ms: process * START_INTERVAL_MS,
            seed_balancers: Box::default(),
        };
        FlowAgent::new(FlowAgentOptions::default(), identity, self.now)
    }

    /// Passes the record of an agent to its registration, if it has changed since the last one.
    fn register(&mut self, index: u8) {
        let now = self.now;
        let agent = self.agents.get_mut(&index).unwrap();
        let Some(process) = &mut agent.process else {
            return;
        };
        let next = process.registration_record(now);
        let is_same = |passed: &NumberedRecord| passed.record == next.record;
        if !agent.passed_record.as_ref().is_some_and(is_same) {
            agent.passed_record = Some(next);
            agent.is_write_pending = true;
            self.write_records();
        }
    }

    /// Lets the store carry out no write for a time. Reads go on.
    pub(super) fn block_writes(&mut self, time: Duration) {
        self.writes_blocked_until = self.writes_blocked_until.max(Some(self.now + time));
    }

    fn are_writes_blocked(&self) -> bool {
        self.writes_blocked_until
            .is_some_and(|until| self.now < until)
    }

    /// Carries out the pending writes of agents, unless writes are blocked, and ends the leases of lost VMs.
    pub(super) fn write_records(&mut self) {
        let now = self.now;
        let is_over = |agent: &Agent| agent.lost_until.is_some_and(|until| until <= now);
        for (index, _) in self.agents.iter().filter(|(_, agent)| is_over(agent)) {
            self.store.records.remove(index);
        }
        if self.are_writes_blocked() {
            return;
        }
        let mut admitted = Vec::new();
        for (index, agent) in &mut self.agents {
            if let Some(process) = &mut agent.process
                && std::mem::take(&mut agent.is_write_pending)
                && let Some(NumberedRecord { number, record }) = &agent.passed_record
            {
                self.store.records.insert(*index, record.clone());
                process.set_written_record(Some(*number));
                admitted.push((*index, process.on_first_write_ended(now)));
            }
        }
        for (index, actions) in admitted {
            self.perform(agent_address(index), actions);
        }
    }

    /// Restarts an agent without notice, while its target keeps running. Starts it if it is stopped.
    pub(super) fn restart_agent(&mut self, index: u8) {
        self.processes_started += 1;
        let service = self.agents[&index].target.service;
        let process = self.flow_agent(index, service, self.processes_started);
        let agent = self.agents.get_mut(&index).unwrap();
        if agent.is_lost() {
            return;
        }
        // The target kept sending reports while the agent restarted.
        agent.target.sequence += 5;
        agent.process = Some(process);
        agent.restart_at = None;
        agent.paused_until = None;
        agent.kept_messages.clear();
        agent.passed_record = None;
        agent.is_write_pending = false;
        self.report_status(index);
        self.register(index);
    }

    /// Stops an agent as planned, while its target keeps running. The platform starts it again after a time. An
    /// agent serves until its stop is written, so it does not stop while writes are blocked.
    pub(super) fn stop_agent(&mut self, index: u8, away: Duration) {
        let now = self.now;
        if self.are_writes_blocked() {
            return;
        }
        let agent = self.agents.get_mut(&index).unwrap();
        let Some(process) = agent.running(now) else {
            return;
        };
        let actions = process.on_stop(now);
        self.perform(agent_address(index), actions);
        self.register(index);
        self.deliver_messages();
        let agent = self.agents.get_mut(&index).unwrap();
        agent.process = None;
        agent.restart_at = Some(now + away);
    }

    /// Restarts a target, which loses its flows.
    pub(super) fn restart_target(&mut self, index: u8) {
        let agent = self.agents.get_mut(&index).unwrap();
        if agent.is_lost() {
            return;
        }
        self.processes_started += 1;
        agent.target = Target::new(agent.target.service, self.processes_started);
    }

    /// Loses the VM of a target for good, and gives its address to a target of the other service. Two callers
    /// send transmissions of their SYNs through one balancer before and after the new VM starts. Late reports
    /// of the lost target reach the new agent first.
    pub(super) fn reuse_address(
        &mut self,
        index: u8,
        balancer: u8,
        syn_lead: Duration,
        late_reports: u8,
    ) {
        let service = self.agents[&index].target.service;
        let lost = self.agents.get_mut(&index).unwrap();
        lost.process = None;
        lost.restart_at = None;
        let earlier_process = lost.target.process;
        lost.target.flows.clear();
        lost.target.process = u64::MAX;
        self.advance_by(ADDRESS_REUSE_TIME);
        let ports = [self.new_caller(service), self.new_caller(service)];
        let keys = ports.map(|port| service.flow(port));
        for key in keys {
            self.send(balancer, &syn(key, 0));
        }
        self.advance(syn_lead);
        self.start_processes(index, service.other());
        for sequence in 1..=u64::from(late_reports) {
            self.deliver_report(index, service, earlier_process, LATE_SEQUENCE + sequence);
        }
        if late_reports == 0 {
            self.report_status(index);
        }
        self.register(index);
        for earlier in 1..=2 {
            // The refusal of the first flow tells the balancer which service the address has now.
            for key in keys {
                self.send(balancer, &syn(key, earlier));
                self.deliver_messages();
            }
            self.advance(Duration::from_millis(200));
        }
        self.settle();
        for port in ports {
            self.callers.get_mut(&port).unwrap().is_reset = true;
        }
    }

    pub(super) fn report_status(&mut self, index: u8) {
        let agent = self.agents.get_mut(&index).unwrap();
        if agent.is_lost() {
            return;
        }
        let target = &mut agent.target;
        target.sequence += 1;
        let (service, process, sequence) = (target.service, target.process, target.sequence);
        self.deliver_report(index, service, process, sequence);
    }

    /// Delivers a status report of a target's process to an agent.
    pub(super) fn deliver_report(
        &mut self,
        index: u8,
        served: Service,
        process: u64,
        sequence: u64,
    ) {
        let now = self.now;
        let started_unix_ms = process.saturating_mul(START_INTERVAL_MS);
        let mut report = status_report("i-1", started_unix_ms, sequence);
        report.service = service(served.name());
        let agent = self.agents.get_mut(&index).unwrap();
        if agent.target.is_draining {
            report.state = TargetState::Draining;
        }
        if let Some(process) = agent.running(now) {
            let actions = process.on_status_report(report, now);
            self.perform(agent_address(index), actions);
            self.register(index);
        }
    }
}
