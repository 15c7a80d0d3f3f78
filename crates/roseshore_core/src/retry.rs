//! When another attempt is allowed, and after what wait.
//!
//! A fault must not multiply the load. A [`RetryBudget`] therefore lets extra attempts grow only with
//! successes: over any time, the extra attempts are at most the burst, plus the ratio of the
//! successes, plus a min_rate that keeps a quiet service able to retry at all. [`backoff`] spreads
//! the attempts out, so that callers that failed together do not come back together. [`parse_retry_after`] reads the wait
//! that a refusal asks for.

use crate::prelude::*;

/// The part of the successes that may be spent on extra attempts.
pub const RATIO: f64 = 0.1;
/// Extra attempts that may be saved up.
pub const BURST: f64 = 10.0;
/// Extra attempts a second that are allowed without any success.
pub const MIN_RATE: f64 = 1.0;
/// The wait before the first retry, at most.
pub const FIRST_WAIT: Duration = Duration::from_millis(10);
/// The wait before any retry, at most.
pub const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Millionths of a token in one; whole numbers, so that ten tenths are one.
const UNIT: f64 = 1e6;
const ONE: u64 = 1_000_000;

/// A token bucket of extra attempts, filled by successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u64,
    ratio: u64,
    burst: u64,
    min_rate: f64,
    seen: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RATIO, BURST, MIN_RATE)
    }
}

impl RetryBudget {
    /// A full bucket of `burst` tokens that earns `ratio` a success and `min_rate` a second.
    pub fn new(ratio: f64, burst: f64, min_rate: f64) -> RetryBudget {
        let (ratio, burst) = ((ratio * UNIT) as u64, (burst * UNIT) as u64);
        RetryBudget { tokens: burst, ratio, burst, min_rate: min_rate * UNIT, seen: None }
    }

    /// Takes note of a success.
    pub fn record_success(&mut self) {
        self.tokens = self.burst.min(self.tokens + self.ratio);
    }

    /// Whether one extra attempt may be made now; if so, it is paid for.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        let seen = self.seen.unwrap_or(now);
        let earned = self.min_rate * now.saturating_duration_since(seen).as_secs_f64();
        self.seen = Some(seen.max(now));
        self.tokens = self.burst.min(self.tokens.saturating_add(earned as u64));
        let allowed = self.tokens >= ONE;
        if allowed {
            self.tokens -= ONE;
        }
        allowed
    }
}

/// The wait before retry `attempt` (0 is the first), between half and all of a doubling bound.
///
/// `unit_random` is from `0.0..1.0`.
pub fn backoff(attempt: u32, unit_random: f64) -> Duration {
    let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
    let bound = FIRST_WAIT.saturating_mul(factor).min(LONGEST_WAIT);
    bound.mul_f64(0.5 + 0.5 * unit_random.clamp(0.0, 1.0))
}

/// The wait that the text of a `Retry-After` field asks for: seconds, fractions included. A date, or what is
/// no time, asks for none.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.trim().parse().ok()?).ok()
}
