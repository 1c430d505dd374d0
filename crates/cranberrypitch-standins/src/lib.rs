//! Stand-ins of the systems around cranberrypitch, for tests and the demo.

pub mod store;
