//! The event loop of an entry host, the reverse proxy between callers and targets.
//!
//! One thread owns all sockets: those of callers, targets, the store and the load balancer. Routing
//! and retry decisions are made in [`roseshore_core::gateway`]; wire formats of the platform are
//! behind [`roseshore_ports::entry::EntryPlatform`]. This crate does the I/O between the two.

pub mod chunks;
pub mod entry;
pub mod http;
pub mod log_writer;
pub mod net;
mod output;
pub mod slab;
pub mod sse;
