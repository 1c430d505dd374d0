//! Tests of forwarding flows by a balancer and an agent, without sockets.

mod agent;
mod agent_list;
mod backlog;
mod capacity;
mod config_checks;
mod config_fleet;
mod config_reads;
mod dispatcher;
mod evacuation;
mod held_flows;
mod liveness;
mod load;
mod lookup;
mod odd_reports;
mod reports;
mod reused_address;
mod routes;
mod schedule;
mod schedule_decision;
mod schedule_overload;
mod selection;
mod store_retry;
mod support;
mod syn_copies;
mod unrouted;
mod world;
