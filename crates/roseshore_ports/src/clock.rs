//! The source of time for the components of the daemon.

use std::time::{Instant, SystemTime};

/// A monotonic clock that keeps running while the machine is suspended.
pub trait Clock: Send {
    /// The current time. Only times from the same clock may be compared.
    fn now(&self) -> Instant;
    /// The time of day, which may jump forwards or backwards.
    fn wall(&self) -> SystemTime;
}
