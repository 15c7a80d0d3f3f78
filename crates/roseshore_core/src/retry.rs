//! Retry budgets and waits between attempts.
//!
//! Retries must not multiply the load of a fault. A [`RetryBudget`] therefore ties extra attempts
//! to successes: over any period, the extra attempts are at most the burst, plus a fraction of the
//! successes, plus a low constant rate that lets a service with little traffic retry at all.
//! [`backoff`] spreads the attempts so that callers that failed together do not retry together.
//! [`parse_retry_after`] reads the wait that a refusal asks for.

use crate::prelude::*;

/// Extra attempts earned per success.
pub const RATIO: f64 = 0.1;
/// Maximum number of extra attempts saved up.
pub const BURST: f64 = 10.0;
/// Extra attempts a second that are allowed without any success.
pub const MIN_RATE: f64 = 1.0;
/// Maximum wait before the first retry.
pub const FIRST_WAIT: Duration = Duration::from_millis(10);
/// Maximum wait before any retry.
pub const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Millionths in one token; integers, so that ten tenths are exactly one.
const UNITS_PER_TOKEN: f64 = 1e6;
const ONE_TOKEN: u64 = 1_000_000;

/// Token bucket of extra attempts, filled by successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u64,
    ratio: u64,
    burst: u64,
    min_rate: f64,
    refilled_at: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RATIO, BURST, MIN_RATE)
    }
}

impl RetryBudget {
    /// Creates a full bucket of `burst` tokens that earns `ratio` tokens per success and `min_rate`
    /// tokens a second.
    pub fn new(ratio: f64, burst: f64, min_rate: f64) -> RetryBudget {
        let (ratio, burst) = ((ratio * UNITS_PER_TOKEN) as u64, (burst * UNITS_PER_TOKEN) as u64);
        RetryBudget {
            tokens: burst,
            ratio,
            burst,
            min_rate: min_rate * UNITS_PER_TOKEN,
            refilled_at: None,
        }
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.tokens = self.burst.min(self.tokens + self.ratio);
    }

    /// Takes a token for one extra attempt; `false` when the budget is exhausted.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        let refilled_at = self.refilled_at.unwrap_or(now);
        let earned = self.min_rate * now.saturating_duration_since(refilled_at).as_secs_f64();
        self.refilled_at = Some(refilled_at.max(now));
        self.tokens = self.burst.min(self.tokens.saturating_add(earned as u64));
        let allowed = self.tokens >= ONE_TOKEN;
        if allowed {
            self.tokens -= ONE_TOKEN;
        }
        allowed
    }
}

/// Wait before retry `attempt` (0 is the first): random between half and all of an exponentially
/// growing bound.
///
/// `unit_random` is a random number in `0.0..1.0`.
pub fn backoff(attempt: u32, unit_random: f64) -> Duration {
    let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
    let bound = FIRST_WAIT.saturating_mul(factor).min(LONGEST_WAIT);
    bound.mul_f64(0.5 + 0.5 * unit_random.clamp(0.0, 1.0))
}

/// Parses the value of a `Retry-After` field: seconds, with fractions allowed. A date or an invalid
/// value gives `None`.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.trim().parse().ok()?).ok()
}
