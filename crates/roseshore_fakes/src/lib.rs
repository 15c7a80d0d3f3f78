//! Test doubles (fakes) of external systems, as libraries and as programs.
//!
//! Each fake implements the protocol of its system and has faults that can be switched at run time.

pub mod closed;
pub mod engine;
pub mod fault;
pub mod http;
pub mod platform;
pub mod service;
pub mod wait;
