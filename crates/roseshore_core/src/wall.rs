//! Wall-clock time as milliseconds of the epoch, the form in which it travels.

use std::time::{Duration, SystemTime};

/// Milliseconds of the epoch; 0 for a time before it.
pub fn millis(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The time of these milliseconds of the epoch.
pub fn time(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}
