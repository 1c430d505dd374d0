//! Flows whose packets the system carries without reading or changing their bytes.
//!
//! A balancer opens a flow at one target and later finds the target again for every packet of the
//! flow. The agent beside the target is the authority on the flows that the target holds, so a
//! balancer's table is only a cache: a balancer that does not know a flow asks the agents.
//!
//! [`Dispatcher`] holds the decisions of a balancer, [`Endpoint`] those of an agent. Both take
//! typed events with a clock reading and return typed actions.

mod directory;
mod dispatcher;
mod endpoint;
mod event;
mod load;
mod message;
mod packet;
mod rendezvous;
mod routes;
mod selection;

pub use self::directory::{AgentDirectory, AgentDirectoryOptions, AgentRecord};
pub use self::dispatcher::{Dispatcher, DispatcherOptions, MAX_DECLINES};
pub use self::endpoint::{
    AgentIdentity, Endpoint, EndpointOptions, MAX_REQUESTS_PER_SLOT, StatusReport, TargetProcess,
    next_queued_syn,
};
pub use self::event::{DropCause, FlowEvent, ResetCause};
pub use self::load::{AgentLoad, LoadMeter};
pub use self::message::{Action, LookupAnswer, LookupQuery, Message, OpenParams, RefusalCause};
pub use self::packet::{FlowKey, PacketFlags, PacketHeader, Reset};
pub use self::routes::{Backend, Route, RouteConfig, RouteTable};
pub use self::selection::{AgentSelector, AgentSelectorOptions, SelectedAgent, SelectionRequest};
