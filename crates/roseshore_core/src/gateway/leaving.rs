//! Which streams a host that was told to stop still takes.
//!
//! For some seconds after the stop signal callers are still sent here, and a refusal sends them to
//! another host that may be leaving, too. A stream that will end within the grace is served; one
//! that would be cut off is refused at once as not run.

use crate::prelude::*;

/// Streams take longer than others did of late by this factor, more or less: one in ten takes more.
const PACE_MARGIN: f64 = 1.6;
/// Callers' guesses of an answer's length are right in the median and often far off: twice the
/// guess covers nine in ten.
const LENGTH_MARGIN: f64 = 2.0;
/// Weight of the latest stream in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Time for a token before any stream has ended, ms: some twice that of a quiet day.
const INITIAL_TOKEN_MS: f64 = 12.0;

/// How fast streams have run of late, reading and pauses included.
#[derive(Clone, Copy, Debug)]
pub struct TokenPace {
    token_ms: f64,
}

impl Default for TokenPace {
    fn default() -> TokenPace {
        TokenPace { token_ms: INITIAL_TOKEN_MS }
    }
}

impl TokenPace {
    /// A stream of so many tokens took so long.
    pub fn record_stream(&mut self, tokens: f64, took: Duration) {
        if tokens >= 1.0 {
            let token_ms = took.as_secs_f64() * 1000.0 / tokens;
            self.token_ms += MEAN_WEIGHT * (token_ms - self.token_ms);
        }
    }

    /// Whether a stream with this guess and bound of its length may be expected to end in `left`.
    pub fn ends_within(&self, guess: f64, bound: f64, left: Duration) -> bool {
        let tokens =
            if bound > 0.0 { bound.min(LENGTH_MARGIN * guess) } else { LENGTH_MARGIN * guess };
        tokens * self.token_ms * PACE_MARGIN <= left.as_secs_f64() * 1000.0
    }
}
