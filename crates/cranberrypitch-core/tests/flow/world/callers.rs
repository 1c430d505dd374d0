//! The callers of a simulated deployment, with the checks of what they see.

use std::time::Instant;

use cranberrypitch_core::TargetState;
use cranberrypitch_core::flow::{AgentDirectoryOptions, AgentRecord, FlowKey};

use super::simulation::{Agent, Balancer, Service, Simulation};
use crate::support::{request, syn};

/// The maximum number of agents that wait for a write of the store, with which a flow opens in time: a SYN waits at
/// each of them.
const MAX_WAITING_AGENTS: usize = 2;

/// A caller with one flow.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) service: Service,
    /// The time of the first transmission of the SYN.
    pub(super) opened_at: Instant,
    /// The number after the last byte of the target that the caller received; none before the first SYN-ACK.
    pub(super) ack_number: Option<u32>,
    /// The target that holds the flow, with its process.
    pub(super) holder: Option<(u8, u64)>,
    /// Whether the handshake is complete at the target.
    pub(super) is_open: bool,
    /// The number of transmissions of the SYN. Several targets may have accepted them.
    pub(super) syn_count: usize,
    /// The number of responses to the last request.
    pub(super) response_count: usize,
    pub(super) is_reset: bool,
    /// Whether the route was dropped since the flow was opened.
    pub(super) is_route_dropped: bool,
}

impl Simulation {
    pub(super) fn new_caller(&mut self, service: Service) -> u16 {
        let port = u16::try_from(self.callers.len()).unwrap() + 1;
        let caller = Caller {
            service,
            opened_at: self.now,
            ack_number: None,
            holder: None,
            is_open: false,
            syn_count: 1,
            response_count: 0,
            is_reset: false,
            is_route_dropped: !self.store.has_route(service),
        };
        self.callers.insert(port, caller);
        port
    }

    /// Opens a flow with transmissions of its SYN through several balancers.
    pub(super) fn open(&mut self, service: Service, balancers: &[u8]) {
        let port = self.new_caller(service);
        let key = service.flow(port);
        let is_any_paused = balancers.iter().any(|b| self.is_balancer_paused(*b));
        let must_open = self.is_known_everywhere(service) && !is_any_paused;
        let caller = self.callers.get_mut(&port).unwrap();
        caller.syn_count = balancers.len();
        for (earlier, balancer) in (0..).zip(balancers) {
            self.send(*balancer, &syn(key, earlier));
        }
        self.settle();
        let caller = self.callers.get_mut(&port).unwrap();
        if caller.ack_number.is_none() || caller.is_reset {
            assert!(!must_open, "flow {port} was not opened");
            // The caller gives up and opens another flow from another port.
            caller.is_reset = true;
            return;
        }
        // The first request completes the handshake at the target.
        self.request(port, balancers[0]);
    }

    /// Returns whether all balancers have the route of a service, and know a target of it that runs and
    /// accepts flows. The agent of a draining target may not have taken its reports yet, and refuses once it has.
    fn is_known_everywhere(&self, service: Service) -> bool {
        let serves = |agent: &Agent| {
            agent.is_reported_to(self.now)
                && agent.target.service == service
                && !agent.target.is_draining
        };
        let is_ready = |(index, agent): (&u8, &Agent)| {
            serves(agent)
                && self.store.records.get(index).is_some_and(|record| {
                    let is_known = |balancer: &Balancer| {
                        let records = balancer.dispatcher.directory().records();
                        records.contains(record)
                    };
                    record.state == TargetState::Ready && self.balancers.values().all(is_known)
                })
        };
        let is_waiting = |agent: &&Agent| agent.is_write_pending;
        let waiting_agents = self.agents.values().filter(is_waiting).count();
        let address = service.flow(1).service_address;
        let has_route = |balancer: &Balancer| balancer.dispatcher.routes().route(address).is_some();
        self.store.has_route(service)
            && waiting_agents <= MAX_WAITING_AGENTS
            && self.balancers.values().all(has_route)
            && self.agents.iter().any(is_ready)
    }

    /// Sends a request on the flow of a caller, and checks its outcome after all timeouts.
    pub(super) fn request(&mut self, port: u16, balancer: u8) {
        let caller = self.callers.get_mut(&port).unwrap();
        if caller.ack_number.is_none() || caller.is_reset {
            return;
        }
        caller.response_count = 0;
        let holder = caller.holder.unwrap();
        let key = caller.service.flow(port);
        let may_be_elsewhere = caller.syn_count > 1;
        loop {
            // Callers retransmit while the agent of their flow is away, or another one that accepted a copy
            // of the SYN: a balancer that passed on that copy awaits it. They also retransmit while the balancer
            // stands still.
            let now = self.now;
            let is_awaited = |agent: &Agent| agent.is_awaited(now);
            let was_awaited = is_awaited(&self.agents[&holder.0])
                || may_be_elsewhere && self.agents.values().any(is_awaited)
                || self.is_balancer_paused(balancer);
            self.send_request(port, balancer);
            self.settle();
            if !was_awaited || self.callers[&port].is_reset {
                break;
            }
        }
        // A balancer learns that the agent of an established flow is silent from the first packet, and acts on it
        // at the next one.
        if !self.is_held(port) && !self.callers[&port].is_reset {
            self.send_request(port, balancer);
            self.settle();
        }
        let now = self.now;
        let is_agent_away = |agent: &Agent| agent.is_away(now);
        let is_holder_away = is_agent_away(&self.agents[&holder.0]);
        let is_any_away = self.agents.values().any(is_agent_away);
        let is_held = self.is_held(port);
        let routes = self.balancers[&balancer].dispatcher.routes();
        let is_routed = routes.route(key.service_address).is_some();
        let caller = &self.callers[&port];
        if caller.is_route_dropped {
            assert!(
                caller.is_reset || is_routed,
                "flow {port} of a dropped route was not reset"
            );
        } else if is_held {
            let is_excused = is_holder_away || is_any_away && may_be_elsewhere;
            assert!(
                caller.response_count > 0 || is_excused,
                "flow {port} got no response"
            );
        } else {
            assert!(
                caller.is_reset || self.is_awaited(&key, balancer),
                "flow {port} was not reset after its target ended"
            );
        }
    }

    fn send_request(&mut self, port: u16, balancer: u8) {
        let caller = &self.callers[&port];
        let key = caller.service.flow(port);
        let ack_number = caller.ack_number.unwrap();
        self.send(balancer, &request(key, ack_number));
    }

    /// Returns whether a balancer has to await an agent that is away before it can reset a flow: one that it
    /// knows, and whose record in the store does not exclude the flow. A recent report that the agent is ready again
    /// takes precedence over the record.
    fn is_awaited(&self, key: &FlowKey, balancer: u8) -> bool {
        let entry = &self.balancers[&balancer];
        let report_lifetime = AgentDirectoryOptions::default().report_lifetime;
        let may_hold = |record: &AgentRecord, index: u8| {
            let reported_at = entry.reported_at.get(&index);
            let has_reported = reported_at.is_some_and(|at| self.now - *at < report_lifetime);
            let is_ready_again = record.state == TargetState::Ready && has_reported;
            let held = record.held_flows.as_ref();
            is_ready_again || held.is_none_or(|held| held.may_contain(key))
        };
        entry.dispatcher.directory().records().iter().any(|record| {
            let index = record.address.ip().octets()[3];
            self.agents[&index].is_away(self.now) && may_hold(record, index)
        })
    }

    pub(super) fn caller_count(&self) -> usize {
        self.callers.len()
    }
}
