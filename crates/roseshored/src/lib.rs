//! The Roseshore daemon.
//!
//! The state machines of `roseshore_core` do no input or output. The drivers in this crate pass
//! network events to them and perform the resulting actions. Each component is a module with a
//! driver; components use each other through the traits of `roseshore_ports`, and [`app::App`]
//! holds those that serve requests.

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
