//! Decides when a stopping host accepts no more callers, and which of their connections it closes.
//!
//! A load balancer goes on sending callers for some seconds after the stop signal, and callers go on
//! using connections that they keep. A connection that is closed with a request on it leaves its
//! caller without an answer, even if this host has not read the request. So a stopping host closes
//! its listener rather than connections that it has just accepted: a caller that cannot connect has
//! sent nothing. A connection that was accepted before gets the time for its first request.

use crate::prelude::*;

/// Time after the stop signal during which the load balancer may still send callers here: until two
/// probes, one second apart, have failed, and a margin.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2600);
/// Time for the first request of a new connection to arrive.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Part of the grace period that is reserved for ending what is in flight, and for the exit of the
/// process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// Part of that time that is reserved for the exit alone.
const KILL_RESERVE: Duration = Duration::from_millis(120);

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Callers are accepted and served. Each response closes its connection.
    Draining,
    /// No callers are accepted, and connections without a request are closed.
    Closing,
    /// The time for requests is over: those in flight are ended, and what is left is written.
    Ending,
    /// The process has to exit.
    Over,
}

/// A shutdown that was started by the stop signal.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// When the signal was received.
    pub since: Instant,
    /// Time from the signal until the process is killed.
    pub grace: Duration,
}

impl Shutdown {
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Time left until requests in flight are ended.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.grace.saturating_sub(EXIT_RESERVE).saturating_sub(self.elapsed(now))
    }

    /// The current stage.
    pub fn stage(&self, now: Instant) -> Stage {
        let elapsed = self.elapsed(now);
        if elapsed + KILL_RESERVE >= self.grace {
            Stage::Over
        } else if self.time_left(now).is_zero() {
            Stage::Ending
        } else if elapsed < MIN_DRAIN_TIME {
            Stage::Draining
        } else {
            Stage::Closing
        }
    }
}

/// A caller's connection on which no byte of a request has arrived.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Requests that were read from it.
    pub requests: u32,
    /// Since when it has waited for a request.
    pub since: Instant,
}

impl IdleConnection {
    /// Whether a host that accepts no more callers closes it.
    pub fn may_close(&self, now: Instant) -> bool {
        self.requests > 0 || now.saturating_duration_since(self.since) >= FIRST_REQUEST_TIME
    }
}
