//! The record of requests: what runs, what was late or refused, and the weekly account.
//!
//! [`history`] is one daemon's bounded memory of running and ended requests. [`account`] counts ended
//! requests by week, service and organisation; its parts go to the log, where the fold over them is
//! the account of the whole system.

pub mod account;
pub mod history;
