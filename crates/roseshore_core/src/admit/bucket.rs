//! A token bucket whose rate may change.

use std::time::{Duration, Instant};

/// One request's worth.
const ONE: f64 = 1.0;
/// The wait reported when the rate allows nothing.
const NEVER: Duration = Duration::from_hours(1);

/// Tokens of one organisation at one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    last: Instant,
}

impl Bucket {
    /// A full bucket; it holds one token at least, so that rare callers are never shut out by a
    /// burst that was divided among many daemons.
    pub fn full_of(burst: f64, now: Instant) -> Bucket {
        Bucket { tokens: burst.max(ONE), last: now }
    }

    /// Whether a token is there.
    ///
    /// # Errors
    /// The time until there is one.
    pub fn peek(&mut self, now: Instant, rate: f64, burst: f64) -> Result<(), Duration> {
        self.fill(now, rate, burst);
        if self.tokens >= ONE {
            return Ok(());
        }
        let seconds = (ONE - self.tokens) / rate;
        Err(Duration::try_from_secs_f64(seconds).map_or(NEVER, |wait| wait.min(NEVER)))
    }

    /// Takes the token that [`Bucket::peek`] found.
    pub fn take(&mut self) {
        self.tokens -= ONE;
    }

    /// Whether it would be no fuller if it were made anew.
    pub fn full(&mut self, now: Instant, rate: f64, burst: f64) -> bool {
        self.fill(now, rate, burst);
        self.tokens >= burst.max(ONE)
    }

    fn fill(&mut self, now: Instant, rate: f64, burst: f64) {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(burst.max(ONE));
        self.last = self.last.max(now);
    }
}
