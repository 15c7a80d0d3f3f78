//! The decisions of roseshore.
//!
//! Every module here is a plain state machine or a pure function: it is given an event and the
//! time, and returns what is to be done. Nothing in this crate reads a clock, opens a socket,
//! holds a lock or starts a thread, so each decision can be driven through any order of events by
//! a table of cases or by `proptest`.

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
