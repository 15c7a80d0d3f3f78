//! An open-loop load generator: requests arrive on schedule whether or not earlier ones have ended.
//!
//! [`schedule`] generates the arrival times, [`run`] sends the requests from a bounded number of
//! threads and measures each from its scheduled arrival, [`tally`] counts the outcomes, [`mixes`]
//! defines the named mixes of requests, and [`experiments`] start a system and change it under load.

pub mod experiments;
pub mod mixes;
pub mod run;
pub mod schedule;
pub mod tally;
