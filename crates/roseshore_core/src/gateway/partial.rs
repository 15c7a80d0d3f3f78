//! Decides when the bytes of a target will not become an answer.
//!
//! A target in trouble may send bytes without end that never complete a head, or an event of a
//! stream. What grows beyond a size is given up by its size alone; this is about bytes that arrive
//! slowly. A target that falls silent within an element may be frozen and go on a moment later, so
//! only bytes that keep arriving count against it.

use crate::prelude::*;

/// Time over which bytes may keep arriving without completing an element.
const MAX_TIME: Duration = Duration::from_secs(1);
/// Arrivals of bytes within that time which show that the target is not silent. What a frozen
/// target or a lossy link held back arrives in one or two pieces.
const MIN_ARRIVALS: u32 = 4;

/// An element of a response that is not complete: its head, or an event of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PartialElement {
    len: usize,
    arrivals: u32,
    first_arrival: Option<Instant>,
}

impl PartialElement {
    /// Records that `len` bytes of the element have arrived by now. Returns whether the element is
    /// taken not to become complete.
    pub fn record(&mut self, len: usize, now: Instant) -> bool {
        if len <= self.len {
            return false;
        }
        self.len = len;
        self.arrivals += 1;
        let first = *self.first_arrival.get_or_insert(now);
        self.arrivals >= MIN_ARRIVALS && now.saturating_duration_since(first) >= MAX_TIME
    }
}
