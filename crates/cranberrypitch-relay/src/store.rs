//! What the daemons read from the store and write to it.

mod backoff;
pub(crate) mod prefix_watcher;
pub(crate) mod registration;
