//! What operators run: the command line, checks of files, and searches of logs.

pub(crate) mod command;
pub mod explain;
pub mod inspect;
