//! Which requests are sent, wait or are refused while targets are nearly full.
//!
//! Three decisions, all without state that lasts: [`Level`] admits new requests at the rate at
//! which the data centre ends them, by rank and by the [`shares`] of organisations; every host
//! applies the same probabilities to its own arrivals, so hosts need not share out room.
//! [`Queue`] orders what waits at one host for a place. [`Wait`] says for how long a request may
//! wait, or that it cannot be served in time and is refused at once.
//!
//! Begun streams and repeated sends never pass the level: their callers were promised an answer.

pub mod level;
pub mod queue;
pub mod shares;
pub mod wait;

use super::demand::Rank;

pub use level::{Decision, Level};
pub use queue::{Joined, Queue, Scan, Waiter};
pub use wait::Wait;

/// Utilisation of the best path below which every request is sent. It leaves room for what other
/// hosts send before their loads are known here.
pub const FREE_UTILISATION: f64 = 0.8;

/// The last urgency that engines know.
pub const LAST_URGENCY: u8 = 9;

/// A request that has not been sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its rank.
    pub rank: Rank,
    /// Hash of its organisation's name; `None` without organisations.
    pub organisation: Option<u32>,
    /// Whether its caller was refused before.
    pub returned: bool,
}

/// The urgency that engines are told, from 0, the first, to [`LAST_URGENCY`]: begun streams go
/// first. `None` if all requests of the service have the same rank.
pub fn urgency(rank: Rank, ranks: &[Rank], begun: bool) -> Option<u8> {
    if ranks.len() < 2 {
        return None;
    }
    let before = ranks.iter().filter(|other| **other < rank).count();
    let urgency = u8::try_from(before + 1).unwrap_or(LAST_URGENCY).min(LAST_URGENCY);
    Some(if begun { 0 } else { urgency })
}
