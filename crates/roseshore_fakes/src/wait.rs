//! Polling for a condition in tests that measure no times.

use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Blocks until a condition holds.
///
/// # Panics
/// When it does not hold within 30 s; the message names `what`.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "condition not met within 30 s: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
