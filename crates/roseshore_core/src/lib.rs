//! The decision logic of roseshore.
//!
//! Every module here is a plain state machine or a pure function: it takes an event and the current
//! time, and returns the actions to carry out. Nothing in this crate reads a clock, opens a socket,
//! holds a lock or starts a thread, so tests can drive each decision through any order of events
//! with tables of cases or `proptest`.

pub mod admit;
pub mod answer;
pub mod code;
pub mod config;
pub mod cost;
pub mod declare;
pub mod event;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod ledger;
pub mod load;
pub mod lookup;
pub mod membership;
pub mod once;
pub mod order;
pub mod polling;
pub mod prelude;
pub mod retry;
pub mod route;
pub mod verdict;
pub mod wall;
