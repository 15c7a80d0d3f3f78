//! The daemon.
//!
//! It turns sockets into events for the decisions of `roseshore_core` and their actions back into
//! sockets. Each part is a module with a driver; parts know each other by the traits of
//! `roseshore_ports` only, and [`app::App`] holds them together.

pub mod app;
pub mod claims;
pub mod events;
