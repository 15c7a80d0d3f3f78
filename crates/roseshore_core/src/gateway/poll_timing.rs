//! When something arrived that a busy or suspended event loop polled late.
//!
//! The time of a request runs from its arrival, not from the moment at which a host with little
//! processor time polled it. Otherwise a host that was suspended for two seconds forwards requests
//! whose callers have already waited for their whole time, and grants each the whole time again.

use crate::prelude::*;

/// A poll that returns faster than this found what had arrived before it began. A turn that is
/// shorter leaves nothing worth telling apart.
const IMMEDIATE: Duration = Duration::from_millis(1);
/// A poll that returns this much after its timeout was held up: the process or its machine was
/// suspended. Timers fire up to about ten milliseconds late on a busy host.
const HELD_UP: Duration = Duration::from_millis(50);
/// A poll that ends this much after its timeout may have missed input of the meantime.
const LATE: Duration = Duration::from_millis(5);

/// The times of one poll of the sockets.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// When the poll before this one ended.
    pub previous_end: Instant,
    /// When this one began to wait.
    pub began: Instant,
    /// The longest time that it was to wait.
    pub timeout: Duration,
    /// When it ended.
    pub ended: Instant,
}

/// The longest time that a poll may wait which begins now. After a turn that kept the loop busy it
/// does not wait: how long a poll took does not tell what had arrived before it from what it waited
/// for, since the process may lose its processor in between.
pub fn max_wait(previous_end: Instant, began: Instant, next_timer: Instant) -> Duration {
    if began.saturating_duration_since(previous_end) >= IMMEDIATE {
        return Duration::ZERO;
    }
    next_timer.saturating_duration_since(began)
}

impl PollTiming {
    /// How long after its timeout it ended.
    fn overrun(&self) -> Duration {
        self.ended.saturating_duration_since(self.began).saturating_sub(self.timeout)
    }

    /// Whether timers are due that input of the meantime may settle, so that the sockets have to be
    /// polled again before the timers fire. A process that was held up finds out the time before it
    /// finds out what has arrived: a poll that a signal interrupts returns nothing.
    pub fn is_late(&self) -> bool {
        self.overrun() >= LATE
    }

    /// The earliest moment at which what the poll found may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        let waited = self.ended.saturating_duration_since(self.began);
        if self.timeout.is_zero() || waited < IMMEDIATE {
            self.previous_end
        } else if self.overrun() >= HELD_UP {
            self.began
        } else {
            self.ended
        }
    }
}
