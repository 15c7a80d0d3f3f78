//! Limits and counts the requests in progress.

use parking_lot::{Condvar, Mutex};
use roseshore_core::prelude::*;

/// The number of requests in progress and its limit.
pub(super) struct InFlight {
    max: usize,
    count: Mutex<usize>,
    idle: Condvar,
}

/// Counts one request until it is dropped.
pub(super) struct InFlightGuard<'a>(&'a InFlight);

impl InFlight {
    pub(super) fn new(max: usize) -> InFlight {
        InFlight { max, count: Mutex::new(0), idle: Condvar::new() }
    }

    /// Counts one more request, or returns `None` at the limit.
    pub(super) fn enter(&self) -> Option<InFlightGuard<'_>> {
        let mut count = self.count.lock();
        if *count >= self.max {
            return None;
        }
        *count += 1;
        metrics::gauge!("roseshore_requests_in_flight").set(*count as f64);
        Some(InFlightGuard(self))
    }

    pub(super) fn count(&self) -> usize {
        *self.count.lock()
    }

    /// Waits until no request is in progress; returns false if `limit` ran out first.
    pub(super) fn wait(&self, limit: Duration) -> bool {
        let mut count = self.count.lock();
        self.idle.wait_while_for(&mut count, |it| *it > 0, limit);
        *count == 0
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut count = self.0.count.lock();
        *count -= 1;
        metrics::gauge!("roseshore_requests_in_flight").set(*count as f64);
        if *count == 0 {
            self.0.idle.notify_all();
        }
    }
}
