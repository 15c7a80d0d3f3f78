//! Sockets behind the traits of [`roseshore_ports::outside`].
//!
//! An adapter decides nothing: it carries a call over and says by the kind of its error what a
//! failure proves.

mod agent;
pub mod call;
pub mod clock;
pub mod engine;
pub mod peer;
pub mod platform;
pub mod service;
