//! Token bucket whose rate may change.

use std::time::{Duration, Instant};

/// Tokens that one request takes.
const REQUEST_TOKENS: f64 = 1.0;
/// Wait reported when the rate is zero.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Token bucket of one organisation at one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    last_refill: Instant,
}

impl Bucket {
    /// Creates a full bucket. It holds at least one token; otherwise a burst divided among many
    /// daemons could fall below one and shut out callers that send rarely.
    pub fn full_of(burst: f64, now: Instant) -> Bucket {
        Bucket { tokens: burst.max(REQUEST_TOKENS), last_refill: now }
    }

    /// Checks for a token without taking it.
    ///
    /// # Errors
    /// Time until a token is available.
    pub fn peek(&mut self, now: Instant, rate: f64, burst: f64) -> Result<(), Duration> {
        self.refill(now, rate, burst);
        if self.tokens >= REQUEST_TOKENS {
            return Ok(());
        }
        let seconds = (REQUEST_TOKENS - self.tokens) / rate;
        Err(Duration::try_from_secs_f64(seconds).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT)))
    }

    /// Takes the token that [`Bucket::peek`] found.
    pub fn take(&mut self) {
        self.tokens -= REQUEST_TOKENS;
    }

    /// Whether the bucket is as full as a new one would be.
    pub fn is_full(&mut self, now: Instant, rate: f64, burst: f64) -> bool {
        self.refill(now, rate, burst);
        self.tokens >= burst.max(REQUEST_TOKENS)
    }

    fn refill(&mut self, now: Instant, rate: f64, burst: f64) {
        let passed = now.saturating_duration_since(self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(burst.max(REQUEST_TOKENS));
        self.last_refill = self.last_refill.max(now);
    }
}
