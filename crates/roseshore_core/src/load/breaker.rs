//! Whether a target that failed may be tried again.
//!
//! A failure puts a target out of use at once, for a time that doubles with every failure in a
//! row. Then it is half open: one request at a time may probe it. A probe that works, or a report
//! polled after the quarantine, opens it fully.

use std::time::{Duration, Instant};

/// Quarantine after the first failure.
const FIRST: Duration = Duration::from_millis(250);
/// The longest quarantine.
const LONGEST: Duration = Duration::from_secs(16);
/// A time without failure after which earlier ones are forgotten.
const FORGET: Duration = Duration::from_mins(1);

/// The failures of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    last: Option<Instant>,
    until: Option<Instant>,
}

impl CircuitBreaker {
    /// Whether new work may go there, when `own` requests are in flight.
    pub fn usable(&self, now: Instant, own: u32) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && own == 0,
        }
    }

    /// Whether it is out of use at all, half open included.
    pub fn tripped(&self) -> bool {
        self.until.is_some()
    }

    /// Until when nothing at all may go there; none where it is in use.
    pub fn open_until(&self) -> Option<Instant> {
        self.until
    }

    /// It failed.
    pub fn record_failure(&mut self, now: Instant) {
        let inside = self.until.is_some_and(|until| now < until);
        if inside {
            return;
        }
        let old = self.last.is_some_and(|last| now.saturating_duration_since(last) > FORGET);
        self.failures = if old { 1 } else { self.failures.saturating_add(1) };
        self.last = Some(now);
        let length = FIRST.saturating_mul(1 << (self.failures - 1).min(16));
        self.until = Some(now + length.min(LONGEST));
    }

    /// A step or call worked.
    pub fn record_success(&mut self, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            self.until = None;
        }
    }

    /// A whole answer makes up for one failure of the row.
    pub fn forgive_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }

    /// It answered a poll at `seen`.
    pub fn record_report(&mut self, seen: Instant) {
        if self.until.is_some_and(|until| seen >= until) {
            self.until = None;
        }
    }
}
