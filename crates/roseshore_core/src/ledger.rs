//! Records of requests: running ones, late and refused ones, and the weekly account.
//!
//! [`history`] is one daemon's bounded memory of running and ended requests. [`account`] counts
//! ended requests by week, service and organisation. Each daemon appends its counts to the log as
//! deltas; folding all deltas gives the account of the whole system.

pub mod account;
pub mod history;
