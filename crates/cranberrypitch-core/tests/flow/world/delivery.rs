//! Delivery of messages and packets between the parts of a simulated deployment, with the checks of the
//! properties under test.

use std::net::SocketAddrV4;

use cranberrypitch_core::flow::{Action, FlowEvent, FlowKey, Message, PacketFlags, PacketHeader};

use super::simulation::{Balancer, Simulation};
use super::targets::TargetReply;
use crate::support::{agent_address, balancer_address, decode, encode, owned_message};

/// The distance of the sequence number of a reset from the caller's last acknowledgement, up to which an open flow
/// ends by it.
const MAX_RESET_DISTANCE: u32 = 76_800;

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
                Action::RecordEvent(event @ FlowEvent::Reset { .. }) => {
                    self.last_reset = Some(event);
                }
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
        // Once a target has accepted, callers ignore resets that are far from what they acknowledge.
        if let Some(ack_number) = caller.ack_number {
            let distance = seq_number.wrapping_sub(ack_number);
            if distance.min(distance.wrapping_neg()) > MAX_RESET_DISTANCE {
                return;
            }
        }
        assert!(
            !(caller.is_open && is_held) || caller.is_route_dropped,
            "flow {port} was reset while its target holds it: {:?}",
            self.last_reset
        );
        caller.is_reset = true;
    }

    /// Returns whether the target process that accepted a flow still runs.
    pub(super) fn is_held(&self, port: u16) -> bool {
        let holder = self.callers[&port].holder;
        holder.is_some_and(|(index, process)| self.agents[&index].target.process == process)
    }

    fn deliver_to_target(&mut self, index: u8, received: &PacketHeader) {
        let port = received.flow_from_caller().caller.port();
        let agent = self.agents.get_mut(&index).unwrap();
        if received.is_syn() {
            let routed = self.callers[&port].service;
            assert_eq!(
                agent.target.service, routed,
                "SYN at a service that its route never named"
            );
        }
        let (response, packet) = match agent.target.receive(received) {
            TargetReply::SynAck(response) => (response, encode(&response)),
            TargetReply::Response(response) => {
                self.callers.get_mut(&port).unwrap().is_open = true;
                (response, encode(&response))
            }
            TargetReply::Returned => {
                let flags = received.flags.with(PacketFlags::BOUNCED);
                let returned = PacketHeader { flags, ..*received };
                (returned, encode(received))
            }
        };
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
            if caller.ack_number.is_none() {
                caller.ack_number = Some(received.seq_number);
                caller.holder = Some((index, process));
            }
        } else {
            assert_eq!(
                caller.holder,
                Some((index, process)),
                "response of another target"
            );
            caller.response_count += 1;
            let next = received.seq_number;
            caller.ack_number = Some(next.wrapping_add(u32::from(received.payload_len_bytes)));
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

    pub(super) fn deliver_to_balancer(
        &mut self,
        from: SocketAddrV4,
        balancer: u8,
        message: Message<'static>,
    ) {
        let now = self.now;
        let is_paused = self.is_balancer_paused(balancer);
        let entry = self.balancers.get_mut(&balancer).unwrap();
        if is_paused {
            entry.kept_messages.push_back((from, message));
            return;
        }
        let dispatcher = &mut entry.dispatcher;
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
            Message::Report { record, load, .. } => {
                entry.reported_at.insert(index(from), now);
                dispatcher.on_report(&record, load, now)
            }
            other => panic!("unexpected message: {other:?}"),
        };
        self.perform(balancer_address(balancer), actions);
    }

    pub(super) fn deliver_to_agent(
        &mut self,
        from: SocketAddrV4,
        index: u8,
        message: &Message<'static>,
    ) {
        let now = self.now;
        let agent = self.agents.get_mut(&index).unwrap();
        if agent.is_away(now) && agent.process.is_some() && agent.keeps_messages {
            let kept = owned_message(message.clone());
            agent.kept_messages.push_back((from, kept));
            return;
        }
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
