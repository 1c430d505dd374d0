//! Delivery of messages and packets between the parts of a simulated deployment, with the checks of the
//! properties under test.

use std::net::SocketAddrV4;

use cranberrypitch_core::flow::{Action, FlowKey, Message, PacketFlags, PacketHeader};

use super::simulation::{Balancer, Simulation};
use crate::support::{
    agent_address, balancer_address, decode, encode, from_target, owned_message, syn_ack,
};

const RESPONSE_BYTES: u16 = 500;

fn index(address: SocketAddrV4) -> u8 {
    address.ip().octets()[3]
}

impl Simulation {
    /// Queues messages, and delivers packets to targets and callers.
    pub(super) fn perform(&mut self, from: SocketAddrV4, actions: Vec<Action<'_>>) {
        for action in actions {
            match action {
                Action::Send { peer, message } => {
                    self.messages
                        .push_back((from, peer, owned_message(message)));
                }
                Action::SendToTarget(packet) => {
                    self.deliver_to_target(index(from), &decode(&packet));
                }
                Action::SendToCaller { packet, .. } => {
                    self.deliver_to_caller(index(from), &decode(&packet));
                }
                Action::Reset(reset) => self.deliver_reset(&reset.flow, reset.seq_number),
                Action::RefreshAgents => self.balancer(from).is_agents_read_due = true,
                Action::CheckConfig => self.balancer(from).is_config_read_due = true,
                Action::RecordEvent(_) => {}
            }
        }
    }

    fn balancer(&mut self, address: SocketAddrV4) -> &mut Balancer {
        self.balancers.get_mut(&index(address)).unwrap()
    }

    fn deliver_reset(&mut self, key: &FlowKey, seq_number: u32) {
        let port = key.caller.port();
        let is_held = self.is_held(port);
        let caller = self.callers.get_mut(&port).unwrap();
        // Callers ignore resets with sequence number 0 once a target has accepted.
        if caller.target_seq.is_some() && seq_number == 0 {
            return;
        }
        assert!(
            !(caller.is_open && is_held) || caller.is_route_dropped,
            "flow {port} was reset while its target holds it"
        );
        caller.is_reset = true;
    }

    /// Returns whether the target process that accepted a flow still runs.
    pub(super) fn is_held(&self, port: u16) -> bool {
        let holder = self.callers[&port].holder;
        holder.is_some_and(|(index, process)| self.agents[&index].target.process == process)
    }

    fn deliver_to_target(&mut self, index: u8, received: &PacketHeader) {
        let flow = received.flow_from_caller();
        let agent = self.agents.get_mut(&index).unwrap();
        let (response, packet);
        if received.is_syn() {
            let routed = self.callers[&flow.caller.port()].service;
            assert_eq!(
                agent.target.service, routed,
                "SYN at a service that its route never named"
            );
            let process = u32::try_from(agent.target.process).unwrap();
            let sequence = *agent
                .target
                .flows
                .entry(flow)
                .or_insert(process * 1_000_000);
            response = syn_ack(flow, sequence);
            packet = encode(&response);
        } else if let Some(sequence) = agent.target.flows.get(&flow)
            // Retransmissions of a SYN may open flows at several targets; the flow is at the one whose
            // sequence number the caller acknowledges.
            && *sequence == received.ack_number
        {
            self.callers.get_mut(&flow.caller.port()).unwrap().is_open = true;
            response = from_target(flow, PacketFlags::ACK, *sequence, RESPONSE_BYTES);
            packet = encode(&response);
        } else {
            let flags = received.flags.with(PacketFlags::BOUNCED);
            response = PacketHeader { flags, ..*received };
            packet = encode(received);
        }
        let now = self.now;
        let Some(process) = agent.running(now) else {
            return;
        };
        let actions = process.on_target_packet(&response, &packet, now);
        self.perform(agent_address(index), actions);
    }

    fn deliver_to_caller(&mut self, index: u8, received: &PacketHeader) {
        let process = self.agents[&index].target.process;
        let port = received.flow_from_target().caller.port();
        let caller = self.callers.get_mut(&port).unwrap();
        if received.is_syn_ack() {
            if caller.target_seq.is_none() {
                caller.target_seq = Some(received.seq_number);
                caller.holder = Some((index, process));
            }
        } else {
            assert_eq!(
                caller.holder,
                Some((index, process)),
                "response of another target"
            );
            caller.response_count += 1;
        }
    }

    pub(super) fn deliver_messages(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            if to.ip().octets()[1] == 1 {
                self.deliver_to_balancer(from, index(to), message);
            } else {
                self.deliver_to_agent(from, index(to), &message);
            }
        }
    }

    fn deliver_to_balancer(&mut self, from: SocketAddrV4, balancer: u8, message: Message<'static>) {
        let now = self.now;
        let dispatcher = &mut self.balancers.get_mut(&balancer).unwrap().dispatcher;
        let actions = match message {
            Message::OpenAccepted { flow } => {
                dispatcher.on_open_accepted(from, flow, now);
                Vec::new()
            }
            Message::OpenQueued { flow } => {
                dispatcher.on_open_queued(from, flow, now);
                Vec::new()
            }
            Message::LookupBatchReply(answers) => answers
                .iter()
                .flat_map(|(flow, answer)| dispatcher.on_lookup_reply(from, *flow, *answer, now))
                .collect(),
            Message::OpenRefused { flow, cause } => {
                dispatcher.on_open_refused(from, flow, cause, now)
            }
            Message::LookupReply { flow, answer } => {
                dispatcher.on_lookup_reply(from, flow, answer, now)
            }
            Message::PacketReturned { packet } => {
                dispatcher.on_packet_returned(from, &decode(&packet), &packet, now)
            }
            Message::Report { record, load, .. } => dispatcher.on_report(&record, load, now),
            other => panic!("unexpected message: {other:?}"),
        };
        self.perform(balancer_address(balancer), actions);
    }

    fn deliver_to_agent(&mut self, from: SocketAddrV4, index: u8, message: &Message<'static>) {
        let now = self.now;
        let agent = self.agents.get_mut(&index).unwrap();
        let Some(process) = agent.running(now) else {
            return;
        };
        let actions = match message {
            Message::Open { params, packet } => {
                process.on_open(from, *params, &decode(packet), packet, now)
            }
            Message::Forward { packet } => process.on_forward(from, &decode(packet), packet, now),
            Message::Lookup { flow, ack_number } => {
                process.on_lookup(from, *flow, *ack_number, now)
            }
            Message::LookupBatch(queries) => process.on_lookup_batch(from, queries, now),
            Message::AgentList(_) => Vec::new(),
            other => panic!("unexpected message: {other:?}"),
        };
        self.perform(agent_address(index), actions);
    }
}
