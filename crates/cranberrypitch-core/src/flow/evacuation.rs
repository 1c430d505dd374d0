//! Evacuation of failure domains: no new flow reaches a target in an evacuated domain, and open flows stay.
//!
//! The store is authoritative. Balancers that read it derive the set of evacuated domains
//! (`decision`), and the set spreads to the other balancers and to agents by messages, ordered by
//! its version. Agents in an evacuated domain refuse new flows themselves.

mod decision;
mod enforcement;
mod messages;
pub(super) mod state;

pub use self::decision::{EvacuationChange, EvacuationContents, EvacuationRead, EvacuationTracker};
pub(crate) use self::enforcement::{EvacuationDiff, EvacuationEnforcement};
pub(crate) use self::messages::evacuation_messages;
pub use self::state::{EvacuationSet, EvacuationVersion};
