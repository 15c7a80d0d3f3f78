//! Network implementations of the traits in [`roseshore_ports::outside`].
//!
//! An adapter makes no decisions. It performs the call and maps each failure to the kind of error
//! that tells whether the call may have run.

mod agent;
mod call;
pub mod clock;
pub mod engine;
pub mod peer;
pub mod platform;
pub mod service;
