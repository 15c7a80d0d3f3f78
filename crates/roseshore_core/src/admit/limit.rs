//! Limit on the number of a service's requests in flight.
//!
//! Requests should queue here, where shares and deadlines are known, and not at the targets. Each
//! daemon starts from an equal part of the slots that the targets report. A daemon with waiting
//! requests raises its limit gradually while the targets have room, and all daemons lower theirs
//! when the targets fill up. This is additive increase and multiplicative decrease, under which
//! unequal limits converge.

use super::Capacity;

/// The limit before any target has reported.
const INITIAL_LIMIT: f64 = 256.0;
/// Requests per slot in an equal part; more than 1 so that a target does not run idle between two
/// reports.
const SLOT_FACTOR: f64 = 1.5;
/// Requests per slot from which on the targets count as full.
const FULL_FACTOR: f64 = 3.5;
/// Increase of the limit per update, as a fraction of the equal part.
const GROWTH: f64 = 0.1;
/// Factor applied to the limit when the targets are full.
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
    /// Maximum number of requests in flight.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Adjusts the limit to the reported capacity, divided among `daemons`; `waiters` says whether
    /// requests wait here.
    pub fn update(&mut self, capacity: Capacity, daemons: f64, waiters: bool) {
        if capacity.slots <= 0.0 {
            return;
        }
        let equal = (capacity.slots * SLOT_FACTOR / daemons).max(1.0);
        if !self.known {
            self.known = true;
            self.value = equal;
        }
        if capacity.busy > capacity.slots * FULL_FACTOR {
            self.value *= BACKOFF;
        } else if waiters {
            self.value += (equal * GROWTH).max(1.0);
        }
        self.value =
            self.value.clamp((equal / 2.0).max(1.0), (capacity.slots * FULL_FACTOR).max(1.0));
    }
}
