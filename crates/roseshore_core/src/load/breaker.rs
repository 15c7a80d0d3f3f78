//! Circuit breaker of a target.
//!
//! A failure opens the breaker: the target is out of use at once, for a time that doubles with each
//! consecutive failure. After that the breaker is half open and lets through one request at a time
//! as a probe. A probe that succeeds, or a report polled after the open period, closes it.

use std::time::{Duration, Instant};

/// Open period after the first failure.
const INITIAL_OPEN_PERIOD: Duration = Duration::from_millis(250);
/// Maximum open period.
const MAX_OPEN_PERIOD: Duration = Duration::from_secs(16);
/// Time without a failure after which earlier ones no longer count.
const FAILURE_MEMORY: Duration = Duration::from_mins(1);

/// Failure state of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    last_failure: Option<Instant>,
    open_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Whether new work may be sent, with `own` requests of this daemon in flight.
    pub fn usable(&self, now: Instant, own: u32) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && own == 0,
        }
    }

    /// Whether the breaker is open or half open.
    pub fn tripped(&self) -> bool {
        self.open_until.is_some()
    }

    /// End of the period in which no request is let through; `None` when the breaker is closed.
    pub fn open_until(&self) -> Option<Instant> {
        self.open_until
    }

    /// Records a failure; further failures during the open period are ignored.
    pub fn record_failure(&mut self, now: Instant) {
        let open = self.open_until.is_some_and(|until| now < until);
        if open {
            return;
        }
        let expired = self
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) > FAILURE_MEMORY);
        self.failures = if expired { 1 } else { self.failures.saturating_add(1) };
        self.last_failure = Some(now);
        let period = INITIAL_OPEN_PERIOD.saturating_mul(1 << (self.failures - 1).min(16));
        self.open_until = Some(now + period.min(MAX_OPEN_PERIOD));
    }

    /// Records a step or call that succeeded.
    pub fn record_success(&mut self, now: Instant) {
        if self.open_until.is_some_and(|until| now >= until) {
            self.open_until = None;
        }
    }

    /// Takes back one of the consecutive failures; called for a complete answer.
    pub fn forgive_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }

    /// Records a report polled at `seen`.
    pub fn record_report(&mut self, seen: Instant) {
        if self.open_until.is_some_and(|until| seen >= until) {
            self.open_until = None;
        }
    }
}
