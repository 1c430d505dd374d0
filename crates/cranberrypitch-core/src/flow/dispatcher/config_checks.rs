//! Announcement of configuration checks to other balancers.
//!
//! Balancers have no list of each other. Agents track the balancers that use them, so a check is sent to
//! a few agents of each failure domain, which relay it.

use std::net::SocketAddrV4;

use super::Dispatcher;
use crate::collections::FastMap;
use crate::flow::config_reads::ConfigCheck;
use crate::flow::message::{Action, Message};
use crate::ids::FailureDomain;
use crate::target::TargetState;

/// The number of agents of a failure domain that relay a check. Not every agent is used by all balancers of
/// its failure domain, and datagrams are lost.
const RELAYS_PER_DOMAIN: usize = 3;

impl Dispatcher {
    /// Returns the messages that announce a check to the other balancers. The agents that relay checks
    /// take turns.
    pub fn announce_config_check(&mut self, check: ConfigCheck) -> Vec<Action<'static>> {
        self.announced_checks = self.announced_checks.wrapping_add(1);
        let first = self.announced_checks.wrapping_mul(RELAYS_PER_DOMAIN);
        let mut by_domain: FastMap<&FailureDomain, Vec<SocketAddrV4>> = FastMap::default();
        for agent in self.directory.agents() {
            if agent.record.state != TargetState::Gone {
                let domain = &agent.record.failure_domain;
                by_domain
                    .entry(domain)
                    .or_default()
                    .push(agent.record.address);
            }
        }
        let relays = by_domain.values().flat_map(|agents| {
            let count = RELAYS_PER_DOMAIN.min(agents.len());
            agents.iter().cycle().skip(first % agents.len()).take(count)
        });
        let evacuations = self.evacuations().clone();
        let message = Message::ConfigCheck { check, evacuations };
        relays
            .map(|agent| Action::send(*agent, message.clone()))
            .collect()
    }
}
