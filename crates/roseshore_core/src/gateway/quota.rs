//! What all hosts spend together: retries, permits of targets that limit their rate, and the room
//! of engines.
//!
//! No host sees what the others spend at the same moment, so each has a part of its own.
//! - [`retry_budget`], [`retry_loans`]: a bound that must hold whatever is lost or restarted, so
//!   each host has a fixed share, and borrows more; [`pending_retries`]: which of them may still
//!   arrive.
//! - [`limits`]: a rate that a target asks for, dealt out permit by permit by one host of each data
//!   centre.
//! - [`room`]: room of engines, which is only spent for a time and which the engines themselves
//!   bound: each host takes its part of what reports show to be free, and nothing is held.

pub mod limits;
pub mod pending_retries;
pub mod retry_budget;
pub mod retry_loans;
pub mod room;
