//! The actor that owns admission control, order tickets and the state of the target.
//!
//! Its state can't be rebuilt after a failure. An agent whose target actor fails therefore exits;
//! the next run has a new incarnation and reports the outcome of older tickets as unknown.

mod actor;
mod messages;
mod peer_handoff;
mod telemetry;

pub(crate) use self::actor::{TargetActor, TargetArgs};
pub use self::messages::TargetStatus;
pub(crate) use self::messages::{
    CancelRequest, CloseConnection, Completion, Configure, Drain, Finish, GetRequestTimes,
    GetStatus, HealthProbeResult, HealthSample, IssueTicket, OpenConnection, QueryOrder,
    RecordRefusal, SampleMetrics, SetPeers, Submit, SubmitReply,
};
