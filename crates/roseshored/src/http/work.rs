//! The count of requests in work, with its bound.

use parking_lot::{Condvar, Mutex};
use roseshore_core::prelude::*;

/// Requests in work.
pub(super) struct Work {
    bound: usize,
    count: Mutex<usize>,
    none: Condvar,
}

/// One request's place; given back when it is dropped.
pub(super) struct Place<'a>(&'a Work);

impl Work {
    pub(super) fn new(bound: usize) -> Work {
        Work { bound, count: Mutex::new(0), none: Condvar::new() }
    }

    /// A place, unless all are taken.
    pub(super) fn enter(&self) -> Option<Place<'_>> {
        let mut count = self.count.lock();
        if *count >= self.bound {
            return None;
        }
        *count += 1;
        metrics::gauge!("roseshore_requests_in_flight").set(*count as f64);
        Some(Place(self))
    }

    pub(super) fn count(&self) -> usize {
        *self.count.lock()
    }

    /// Waits until no place is taken; false when `limit` ran out first.
    pub(super) fn wait(&self, limit: Duration) -> bool {
        let mut count = self.count.lock();
        self.none.wait_while_for(&mut count, |it| *it > 0, limit);
        *count == 0
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut count = self.0.count.lock();
        *count -= 1;
        metrics::gauge!("roseshore_requests_in_flight").set(*count as f64);
        if *count == 0 {
            self.0.none.notify_all();
        }
    }
}
