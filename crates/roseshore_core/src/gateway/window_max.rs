//! The largest value of a number within a time window.

use crate::prelude::*;
use std::collections::VecDeque;

/// A number whose decreases count only after a window has passed.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowMax {
    /// Times at which values were last set, and the values, in decreasing order.
    values: VecDeque<(Instant, usize)>,
}

impl WindowMax {
    /// Sets the value that holds from now on. A larger one counts for `window`.
    pub(super) fn set(&mut self, value: usize, window: Duration, now: Instant) {
        while self.values.back().is_some_and(|(_, smaller)| *smaller <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        let expired = |at: Instant| now.saturating_duration_since(at) >= window;
        while self.values.len() > 1 && expired(self.values[0].0) {
            self.values.pop_front();
        }
    }

    /// The largest value within the window; 0 if none was set.
    pub(super) fn get(&self) -> usize {
        self.values.front().map_or(0, |(_, value)| *value)
    }
}
