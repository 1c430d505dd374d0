//! The actor that owns admission, order tickets and the state of the target.
//!
//! Its state can't be rebuilt: an agent whose target actor has failed ends, and the next run has
//! a new incarnation, which answers older tickets with "unknown".

mod actor;
mod messages;
mod moves;
mod record;

pub(crate) use self::actor::{TargetActor, TargetArgs};
pub use self::messages::TargetStatus;
pub(crate) use self::messages::{
    CancelRequest, CloseConnection, Completion, Configure, Drain, Finish, GetRequestTimes,
    GetStatus, HealthProbeResult, HealthSample, IssueTicket, OpenConnection, QueryOrder,
    RecordRefusal, SampleMetrics, SetPeers, Submit, SubmitReply,
};
