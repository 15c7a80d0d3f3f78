//! The daemon.
//!
//! It turns sockets into events for the decisions of `roseshore_core` and their actions back into
//! sockets. Each part is a module with a driver; parts know each other by the traits of
//! `roseshore_ports` only, and [`app::App`] holds them together.

pub mod admin;
pub mod admission;
pub mod answer;
pub mod app;
pub mod budgets;
pub mod calls;
pub mod claims;
pub mod context;
pub mod daemon;
pub mod drain;
pub mod entry;
pub mod events;
pub mod fleets;
pub mod http;
pub mod ledger;
pub mod loads;
mod log_reader;
pub mod lookups;
pub mod members;
pub mod orders;
pub mod peers;
pub mod routing;
pub mod serve;
pub mod settings;
pub mod spans;

pub use drain::{Running, start};
