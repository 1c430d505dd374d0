//! Which part of a flow an agent has seen.

use derive_more::Display;

/// Which part of a flow an agent has seen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum FlowView {
    /// All of it: the agent passed its SYN to a process of the target that cannot have held it before.
    #[display("whole")]
    Whole,
    /// The agent may have started after the flow was opened.
    #[display("partial")]
    Partial,
}
