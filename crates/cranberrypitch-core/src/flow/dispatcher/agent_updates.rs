//! What a balancer learns of agents: from the store, from other balancers and from reports.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::Dispatcher;
use crate::flow::directory::{AgentEntry, AgentRecord};
use crate::flow::event::FlowEvent;
use crate::flow::load::AgentLoad;
use crate::flow::message::{Action, Message};

/// The maximum number of agents in a [`Message::AgentList`].
const MAX_LISTED_AGENTS: usize = 16;

impl Dispatcher {
    /// Applies the complete agent list from the store.
    pub fn on_agent_list(
        &mut self,
        records: Vec<AgentRecord>,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.has_store_list = true;
        // The records may be older than those before, if the store was restored from a copy. The changes that
        // are read next show as of when they hold.
        self.agent_list_as_of = None;
        self.apply_agent_list(records, now)
    }

    fn apply_agent_list(
        &mut self,
        records: Vec<AgentRecord>,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.forget_silence_of_earlier_processes(&records);
        let changed = self.directory.on_agent_list(records, now);
        let mut actions: Vec<_> = changed.iter().map(target_changed_event).collect();
        actions.extend(self.place_pending_flows(now));
        actions
    }

    /// Applies the agent list of another balancer while the store is unavailable. Does not change agents
    /// that are already in the directory, as the other balancer may have older records.
    pub fn on_snapshot(&mut self, records: Vec<AgentRecord>, now: Instant) -> Vec<Action<'static>> {
        if !self.directory.is_loaded() {
            return self.apply_agent_list(records, now);
        }
        let is_new = |record: &AgentRecord| self.directory.agent(record.address).is_none();
        // The store does not list them, so it does not show that their sets of held flows are current.
        let without_flows = |record| AgentRecord {
            held_flows: None,
            ..record
        };
        let new_records = records.into_iter().filter(is_new).map(without_flows);
        let new_records: Vec<_> = new_records.collect();
        new_records
            .iter()
            .flat_map(|record| self.on_registered(record, now))
            .collect()
    }

    /// Returns the agent list for a balancer that starts while the store is unavailable, or nothing while
    /// this balancer is not ready.
    pub fn snapshot(&self) -> Option<Vec<AgentRecord>> {
        self.is_ready().then(|| self.directory.records())
    }

    /// Applies a registration that was added or changed in the store.
    pub fn on_registered(&mut self, record: &AgentRecord, now: Instant) -> Vec<Action<'static>> {
        self.forget_silence_of_earlier_processes(std::slice::from_ref(record));
        if !self.directory.on_registered(record.clone(), now) {
            return Vec::new();
        }
        let mut actions = vec![target_changed_event(record)];
        actions.extend(self.place_pending_flows(now));
        actions
    }

    /// Forgets the queries that the earlier processes of restarted agents left unanswered: they say nothing
    /// about the new processes.
    fn forget_silence_of_earlier_processes(&mut self, records: &[AgentRecord]) {
        for record in records {
            let known = self.directory.agent(record.address);
            if known.is_some_and(|entry| entry.record.incarnation != record.incarnation) {
                self.liveness.remove(record.address);
            }
        }
    }

    /// Records that the registration of an agent can't be read, as another writer has changed it. The last
    /// record of the agent holds, as its target may hold open flows.
    pub fn on_unreadable_registration(&mut self, agent: SocketAddrV4) {
        self.directory.on_unreadable(agent);
    }

    /// Records that the registration of an agent ended.
    pub fn on_unregistered(&mut self, agent: SocketAddrV4, now: Instant) {
        self.directory.on_unregistered(agent, now);
    }

    /// Processes a report of an agent.
    pub fn on_report(
        &mut self,
        record: &AgentRecord,
        load: AgentLoad,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.on_agent_message(record.address, now);
        let mut actions: Vec<_> = self.agent_list_message(record).into_iter().collect();
        if self.directory.on_report(record.clone(), load, now) {
            actions.push(target_changed_event(record));
            actions.extend(self.place_pending_flows(now));
        }
        actions
    }

    /// Returns a message with other agents if the store does not list the agent. Such an agent is new
    /// or can't register, for example during an outage of the store, and discovers balancers through
    /// the others. Those of its failure domain come first, as their balancers prefer its target.
    fn agent_list_message(&self, agent: &AgentRecord) -> Option<Action<'static>> {
        if self.directory.is_listed(agent.address) {
            return None;
        }
        let is_other = |entry: &&AgentEntry| entry.record.address != agent.address;
        let others = self.directory.agents().filter(is_other);
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|entry| entry.record.failure_domain == agent.failure_domain);
        let addresses = near.iter().chain(&far).map(|entry| entry.record.address);
        let others = addresses.take(MAX_LISTED_AGENTS).collect();
        Some(Action::send(agent.address, Message::AgentList(others)))
    }
}

fn target_changed_event<'a>(record: &AgentRecord) -> Action<'a> {
    Action::RecordEvent(FlowEvent::TargetChanged {
        agent: record.address,
        service: record.service.clone(),
        incarnation: record.incarnation,
        state: record.state,
    })
}
