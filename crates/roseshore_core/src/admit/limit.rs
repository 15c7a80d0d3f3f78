//! How many requests of a service may be inside at once.
//!
//! The queue shall stand here, where shares and deadlines count, and not at the targets. Each
//! daemon starts from an equal part of the slots that the targets report. One that has waiters while
//! the targets have room takes more, a little at a time; all give way when the targets fill up. That
//! is additive increase and multiplicative decrease, under which unequal parts converge.

use super::Capacity;

/// The limit before any target has reported.
const INITIAL_LIMIT: f64 = 256.0;
/// Requests per slot that keep a target from idling between a report and the next.
const SLOT_FACTOR: f64 = 1.5;
/// Targets are full from this many requests per slot on.
const FULL: f64 = 3.5;
/// Part of the equal share by which a limit grows at once.
const GROWTH: f64 = 0.1;
/// What is left of a limit when the targets are full.
const BACKOFF: f64 = 0.95;

/// A concurrency limit.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    value: f64,
    known: bool,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit { value: INITIAL_LIMIT, known: false }
    }
}

impl Limit {
    /// Requests that may be inside.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Fits it to the capacity reported, divided among `daemons`; `waiters` says whether any wait here.
    pub fn update(&mut self, capacity: Capacity, daemons: f64, waiters: bool) {
        if capacity.slots <= 0.0 {
            return;
        }
        let equal = (capacity.slots * SLOT_FACTOR / daemons).max(1.0);
        if !self.known {
            self.known = true;
            self.value = equal;
        }
        if capacity.busy > capacity.slots * FULL {
            self.value *= BACKOFF;
        } else if waiters {
            self.value += (equal * GROWTH).max(1.0);
        }
        self.value = self.value.clamp((equal / 2.0).max(1.0), (capacity.slots * FULL).max(1.0));
    }
}
