//! Where a part of the daemon gets the time from.

use std::time::{Instant, SystemTime};

/// A clock that never goes back, and runs on while the machine is suspended.
pub trait Clock: Send {
    /// The time now; only times of one clock may be compared.
    fn now(&self) -> Instant;
    /// The time of day, which may jump either way.
    fn wall(&self) -> SystemTime;
}
