//! When a host takes no new callers because it has no processor time left.
//!
//! A host that reads more requests than it has time for serves all of them late. A connection that
//! it closes unread costs the caller a round trip, and reaches another host at the next try. So the
//! host measures which share of the time its event loop is busy, and closes new connections while
//! that is too large. It still takes one now and then: a host that takes none looks dead.

use crate::prelude::*;

/// Time constant of the busy share: longer than a reload of the configuration keeps a host busy.
const SMOOTHING: Duration = Duration::from_millis(800);
/// Longest time that a single iteration counts for. A machine that was suspended, or a process that
/// was paused, looks like one long iteration, and says nothing about the load.
const MAX_ITERATION: Duration = Duration::from_millis(400);
/// Busy share above which new callers are turned away. The rest is for requests that are running.
const MAX_BUSY: f64 = 0.8;
/// Gap between new callers that are taken all the same.
const MIN_TAKEN_GAP: Duration = Duration::from_millis(500);

/// The share of its time that an event loop is busy.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    busy: f64,
    /// When a caller was last taken.
    taken: Option<Instant>,
}

impl Overload {
    /// Records an iteration of the event loop: for how long it was busy, and then idle.
    pub fn record(&mut self, busy: Duration, idle: Duration) {
        let total = busy + idle;
        if total.is_zero() {
            return;
        }
        let weight = 1.0 - (-total.min(MAX_ITERATION).div_duration_f64(SMOOTHING)).exp();
        self.busy += weight * (busy.div_duration_f64(total) - self.busy);
    }

    /// The share of the recent time that the event loop was busy, 0 to 1.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Whether the host has too little time left for more requests.
    pub fn is_overloaded(&self) -> bool {
        self.busy > MAX_BUSY
    }

    /// Whether to take a new caller now.
    pub fn take_caller(&mut self, now: Instant) -> bool {
        let due = |at: Instant| now.saturating_duration_since(at) >= MIN_TAKEN_GAP;
        let take = !self.is_overloaded() || self.taken.is_none_or(due);
        if take {
            self.taken = Some(now);
        }
        take
    }
}
