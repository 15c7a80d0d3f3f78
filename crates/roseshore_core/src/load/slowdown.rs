//! How a target's real times compare with what it reports.
//!
//! Only the time of a whole chain's step can be seen. Its error is divided among the stages by how
//! uncertain each one's factor is (a Kalman filter that keeps variances only): stages that have
//! proved steady in other chains take little of the blame, so that over changing partners it
//! settles on the target that is slow. What is not observed for a while is slowly forgiven, so that
//! a target that recovered is found out.

use std::time::{Duration, Instant};

/// The bounds of the factor; a target that is faster than it says is simply believed.
const BOUNDS: (f64, f64) = (1.0, 100.0);
/// Without an observation, the factor is back at 1 after this time.
const DECAY_TIME: Duration = Duration::from_mins(3);
/// Variance of a factor of which nothing is known.
const UNKNOWN: f64 = 16.0;
/// Variance that a factor gains in a second.
const DRIFT: f64 = 0.1;

/// A factor on reported times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    factor: f64,
    variance: f64,
    last: Option<Instant>,
}

impl Default for Slowdown {
    fn default() -> Slowdown {
        Slowdown { factor: 1.0, variance: UNKNOWN, last: None }
    }
}

impl Slowdown {
    /// How many times longer it takes than it reports.
    pub fn factor(&self, now: Instant) -> f64 {
        let kept = (1.0 - self.idle(now) / DECAY_TIME.as_secs_f64()).max(0.0);
        1.0 + (self.factor - 1.0) * kept
    }

    /// How uncertain the factor is.
    pub fn variance(&self, now: Instant) -> f64 {
        (self.variance + DRIFT * self.idle(now)).min(UNKNOWN)
    }

    /// Takes its part of an observation: `gain` is how far the factor moves for one second of
    /// error, `step` how many seconds one factor stands for.
    pub fn learn(&mut self, now: Instant, error: f64, gain: f64, step: f64) {
        let factor = self.factor(now) + gain * error;
        self.variance = self.variance(now) * (1.0 - gain * step);
        self.factor = factor.clamp(BOUNDS.0, BOUNDS.1);
        self.last = Some(now);
    }

    /// Keeps the expected time when the report it is relative to changes.
    pub fn rescale(&mut self, ratio: f64) {
        self.factor = (self.factor * ratio).clamp(BOUNDS.0, BOUNDS.1);
    }

    fn idle(&self, now: Instant) -> f64 {
        self.last.map_or(0.0, |last| now.saturating_duration_since(last).as_secs_f64())
    }
}
