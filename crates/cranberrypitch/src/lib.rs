//! A layer-4 load balancer that is driven by one text of services.

pub mod daemon;
