//! An open-loop load: arrivals come when they come, whether or not earlier ones have ended.
//!
//! [`schedule`] says when which request arrives, [`run`] sends them from a bounded number of
//! threads and measures each from the time it was due, [`tally`] counts what became of them, [`mixes`]
//! names what is sent, and [`experiments`] start a system and change something under load.

pub mod experiments;
pub mod mixes;
pub mod run;
pub mod schedule;
pub mod tally;
