//! How late a loop that was busy, or stood still, looks at what came.
//!
//! A caller's time runs from when its request came, not from when a host of little processor time
//! looked at it. A host that stood still for two seconds passed requests on whose callers had waited
//! their whole time, and gave each of them its whole time anew.

use crate::prelude::*;

/// A wait that is over sooner found what was there before it began.
const AT_ONCE: Duration = Duration::from_millis(1);
/// A wait that is over so much later than asked for was held up: the process stood still, or its
/// machine was suspended. Timers fire up to some ten milliseconds late on a busy host.
const HELD_UP: Duration = Duration::from_millis(50);

/// One look at the sockets.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// When the look before this one ended.
    pub previous_end: Instant,
    /// When this one began to wait.
    pub began: Instant,
    /// For how long it wanted to wait at most.
    pub timeout: Duration,
    /// When it ended.
    pub ended: Instant,
}

impl PollTiming {
    /// The earliest moment at which what it found may have come.
    pub fn earliest_arrival(&self) -> Instant {
        let waited = self.ended.saturating_duration_since(self.began);
        if waited < AT_ONCE {
            self.previous_end
        } else if waited >= self.timeout + HELD_UP {
            self.began
        } else {
            self.ended
        }
    }
}
