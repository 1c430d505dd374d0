//! The decision logic and data types of cranberrypitch, without input and output.
//!
//! All decisions of the system are made by the state machines of this crate. Each receives typed
//! events together with the current time and returns typed actions. No module opens a socket or
//! spawns a task, and only the clocks read the time, so that tests can drive each state machine with
//! simulated time and a fixed random seed.

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
pub use crate::units::{ByteSize, ConnectionLimit, QueueLimit, RequestRate, Slots};
