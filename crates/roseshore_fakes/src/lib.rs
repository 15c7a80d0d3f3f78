//! Small stand-ins for the systems outside, as libraries and as programs.
//!
//! Each speaks the protocol of its system and has faults that are switched while it runs.

pub mod closed;
pub mod engine;
pub mod fault;
pub mod http;
pub mod platform;
pub mod service;
pub mod wait;
