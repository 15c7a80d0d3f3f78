//! Waiting for a condition in tests, which time nothing.

use std::thread;
use std::time::{Duration, Instant};

/// How long a condition may take.
const BOUND: Duration = Duration::from_secs(30);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
///
/// # Panics
/// When it does not hold within 30 s; `what` says what was waited for.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(LOOK);
    }
}
