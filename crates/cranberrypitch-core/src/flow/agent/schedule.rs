//! The schedule of requests that wait at an agent: SYNs, and requests of open flows.
//!
//! It is designed for overload: more requests than the target can serve in time. Requests wait while the target
//! has at least [`MAX_REQUESTS_PER_SLOT`] requests per slot. SYNs also wait while a cold target is at its rate
//! limit, and for the first write of the registration. `decision` chooses without I/O or state, `turns`
//! keeps what the choice depends on, `queue` holds what waits, and `syns` and `requests` connect it to
//! [`FlowAgent`](super::FlowAgent).

mod decision;
mod queue;
mod requests;
mod syns;
mod turns;

pub use self::decision::{RequestKind, TargetCapacity, WaitingRequest};
pub(super) use self::queue::RequestQueue;
pub(super) use self::syns::QueuedSyn;
pub use self::turns::FairTurns;

/// The number of requests per slot, including the running one, from which on requests wait at the agent. A
/// second request keeps the slot busy while the next one is on its way.
pub const MAX_REQUESTS_PER_SLOT: u32 = 2;
