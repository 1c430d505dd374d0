//! Layer-4 forwarding of flows: packets pass through unparsed and unchanged beyond their headers.
//!
//! A balancer selects a target for the SYN of a flow and forwards every later packet of the flow to
//! the same target. The agent beside the target is authoritative for the flows that the target
//! holds, and the balancer's flow table is only a cache: on a miss the balancer looks the flow up at
//! the agents.
//!
//! [`Dispatcher`] implements the balancer and [`FlowAgent`] the agent. Both are state machines without
//! I/O: they take typed events with the current time and return typed actions.

mod agent;
mod agent_list;
mod arrival;
mod cause;
mod config_reads;
mod directory;
mod dispatcher;
mod evacuation;
mod event;
mod flow_view;
mod held_flows;
mod load;
mod message;
mod packet;
mod rendezvous;
mod reset_evidence;
mod routes;
mod selection;
mod service_time;
mod store_retry;
mod syn_transmissions;

pub use self::agent::{
    AgentIdentity, FairTurns, FlowAgent, FlowAgentOptions, MAX_REQUESTS_PER_SLOT, NumberedRecord,
    RecordNumber, RequestKind, StatusReport, TargetCapacity, TargetProcess, WaitingRequest,
};
pub use self::agent_list::AgentListProgress;
pub use self::arrival::{Arrival, ArrivalTracker};
pub use self::cause::{DropCause, IgnoredReportCause, RefusalCause, ResetCause, ResetEvidenceKind};
pub use self::config_reads::{ConfigCheck, ConfigRead, ConfigReadOptions, ConfigReadSchedule};
pub use self::directory::{AgentDirectory, AgentDirectoryOptions, AgentRecord};
pub use self::dispatcher::{BufferedPacket, Dispatcher, DispatcherOptions, MAX_DECLINES};
pub use self::evacuation::{
    EvacuationChange, EvacuationContents, EvacuationRead, EvacuationSet, EvacuationTracker,
    EvacuationVersion,
};
pub use self::event::FlowEvent;
pub use self::flow_view::FlowView;
pub use self::held_flows::HeldFlows;
pub use self::load::{AgentLoad, LoadMeter};
pub use self::message::{Action, LookupAnswer, LookupQuery, Message, OpenParams};
pub use self::packet::{FlowKey, PacketFlags, PacketHeader, Reset};
pub use self::routes::{Backend, RequestLimits, Route, RouteConfig, RouteTable, ServicePolicy};
pub use self::selection::{
    AgentSelector, AgentSelectorOptions, EjectionCause, OutlierChange, SelectedAgent,
    SelectionRequest,
};
pub use self::store_retry::retry_wait;
