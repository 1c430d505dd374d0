//! Tests of forwarding flows by a balancer and an agent, without sockets.

mod agent;
mod agent_list;
mod backlog;
mod config_checks;
mod config_fleet;
mod config_reads;
mod dispatcher;
mod liveness;
mod load;
mod lookup;
mod odd_reports;
mod reports;
mod reused_address;
mod routes;
mod selection;
mod slow_start;
mod store_retry;
mod support;
mod syn_copies;
mod unrouted;
mod world;
