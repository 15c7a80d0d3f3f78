//! Measures the time between tokens of the chain that serves an answer.

use crate::prelude::*;

/// Number of intervals averaged into one sample, so that the router gets a few samples a second.
const INTERVALS_PER_SAMPLE: u32 = 8;

/// Intervals between the tokens of one route.
#[derive(Debug, Default)]
pub struct IntervalMeter {
    since: Option<Instant>,
    intervals: u32,
}

impl IntervalMeter {
    /// Discards the current sample: the route changed, or a wait was not caused by the chain.
    pub fn reset(&mut self) {
        *self = IntervalMeter::default();
    }

    /// Counts a token that arrived at `now`; returns the mean interval once enough tokens have
    /// arrived.
    pub fn record_token(&mut self, now: Instant) -> Option<Duration> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.intervals += 1;
        if self.intervals < INTERVALS_PER_SAMPLE {
            return None;
        }
        let mean = now.saturating_duration_since(since) / self.intervals;
        *self = IntervalMeter { since: Some(now), intervals: 0 };
        Some(mean)
    }
}
