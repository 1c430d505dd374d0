//! Decisions and types of cranberrypitch, free of input and output.
//!
//! Every decision of the system is made here: typed events and a clock reading go in, typed
//! actions come out. Nothing in this crate opens a socket, starts a task or reads the time, so a
//! test can drive each decision with a fake clock and a seed.

pub mod acceptance;
pub mod admission;
pub mod clock;
pub mod collections;
pub mod config;
pub mod drain;
pub mod errors;
pub mod flow;
pub mod handoff;
pub mod health;
pub mod ids;
pub mod membership;
pub(crate) mod newtype;
pub mod orders;
pub mod placement;
pub mod request;
pub mod retry;
pub mod target;
pub mod token;
pub mod units;

pub use crate::clock::{Clock, ManualClock, SystemClock};
pub use crate::collections::{FastMap, FastSet};
pub use crate::errors::{Error, Result};
pub use crate::ids::{
    DeploymentName, EditId, FailureDomain, Incarnation, KeyGeneration, OrganisationId, Region,
    RequestId, Revision, ServiceName, ServiceTag, VmId,
};
pub use crate::request::{NotRunReason, Outcome, RequestClass, Reservation};
pub use crate::target::{Announcement, TargetLoad, TargetState};
pub use crate::token::{RoutingToken, TokenKeys};
pub use crate::units::{ByteSize, ConnectionLimit, QueueLimit, Slots};
