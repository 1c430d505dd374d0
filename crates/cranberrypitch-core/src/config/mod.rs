//! Configuration texts: validation, differences between texts, and division into shards.
//!
//! `docs/configuration.md` describes the format with units, ranges and errors.

mod diff;
mod digest;
mod edit;
mod head;
mod node;
mod partial;
mod problem;
mod reader;
mod rules;
mod shard;
mod shard_count;
mod text;

pub use diff::{ConfigChange, diff};
pub use digest::Digest;
pub use edit::ConfigEdit;
pub use head::{ConfigHead, MAX_PREVIOUS_EDITS};
pub use problem::{Problem, Problems, Violation};
pub use shard::{MAX_SHARD_BYTES, Shard, assemble, split};
pub use shard_count::{SHARD_TARGET_BYTES, ShardCount};
pub use text::{ClassLimits, ConfigText, Deployment, ServiceConfig};
