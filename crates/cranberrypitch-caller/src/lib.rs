//! The caller's library of cranberrypitch.
//!
//! A caller opens QUIC connections to the address of a service. The library resumes feeds when
//! their connection moves or fails, places orders that run at most once, and uploads files whose
//! SHA-256 the backend server confirms.

mod attempts;
mod client;
mod errors;
mod feed;
mod order;
mod proxy;
mod ticket;
mod upload;

pub use crate::client::{Caller, Connection, MAX_RESPONSE_BYTES, Response, ServiceEndpoint};
pub use crate::errors::{Error, Result};
pub use crate::feed::{Feed, FeedOptions, FeedStats, Reading};
pub use crate::order::{OrderOptions, OrderReport, place_order, query_order};
pub use crate::proxy::{Proxy, ProxyOptions};
pub use crate::ticket::TicketText;
pub use crate::upload::{UploadOptions, UploadReport, upload};
