//! Wall-clock time in milliseconds since the Unix epoch, the form used in messages and records.

use std::time::{Duration, SystemTime};

/// Milliseconds since the Unix epoch; 0 for an earlier time.
pub fn millis(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Converts milliseconds since the Unix epoch to a time.
pub fn time(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}
