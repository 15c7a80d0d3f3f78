//! Measures the pace of the chain that an answer runs over.

use crate::prelude::*;

/// Tokens over which a pace is averaged, so that the router is told a few times a second.
const SPAN: u32 = 8;

/// The gaps between tokens of one route.
#[derive(Debug, Default)]
pub struct IntervalMeter {
    since: Option<Instant>,
    gaps: u32,
}

impl IntervalMeter {
    /// Begins anew: another route, or a wait that was not the chain's.
    pub fn reset(&mut self) {
        *self = IntervalMeter::default();
    }

    /// Counts a token that came at `now`; the pace, once enough of them have come.
    pub fn record_token(&mut self, now: Instant) -> Option<Duration> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.gaps += 1;
        if self.gaps < SPAN {
            return None;
        }
        let pace = now.saturating_duration_since(since) / self.gaps;
        *self = IntervalMeter { since: Some(now), gaps: 0 };
        Some(pace)
    }
}
