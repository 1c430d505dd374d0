//! The agent beside a backend server.

pub mod backend;
