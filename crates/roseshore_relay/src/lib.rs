//! The readiness loop of an entry host.
//!
//! One thread holds all sockets: callers', targets', the store's and the balancer's. Decisions are
//! in [`roseshore_core::gateway`]; how things are spelled on the wire is behind
//! [`roseshore_ports::entry::EntryPlatform`]; this crate carries bytes between the two.

pub mod entry;
pub mod http;
pub mod log_writer;
pub mod net;
pub mod slab;
pub mod sse;
