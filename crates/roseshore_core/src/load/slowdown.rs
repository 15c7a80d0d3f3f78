//! Ratio of a target's observed step times to its reported ones.
//!
//! Only the time of a step over a whole chain can be observed. Its error is divided among the
//! stages by the uncertainty of each one's ratio (a Kalman filter with variances only): stages that
//! proved steady in other chains take a small part of the error, so that over changing chains it
//! converges on the target that is slow. Without new observations the ratio decays to 1, so that a
//! target that has recovered is tried again.

use std::time::{Duration, Instant};

/// Bounds of the ratio; a target that is faster than it reports is taken at its report.
const BOUNDS: (f64, f64) = (1.0, 100.0);
/// Time without observations after which the ratio is back at 1.
const DECAY_TIME: Duration = Duration::from_mins(3);
/// Initial and maximum variance of the ratio.
const UNKNOWN: f64 = 16.0;
/// Variance that is added per second without observations.
const DRIFT: f64 = 0.1;

/// Estimated ratio of observed to reported times.
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
    /// Ratio of observed to reported times at `now`.
    pub fn factor(&self, now: Instant) -> f64 {
        let kept = (1.0 - self.idle(now) / DECAY_TIME.as_secs_f64()).max(0.0);
        1.0 + (self.factor - 1.0) * kept
    }

    /// Variance of the ratio at `now`.
    pub fn variance(&self, now: Instant) -> f64 {
        (self.variance + DRIFT * self.idle(now)).min(UNKNOWN)
    }

    /// Applies one target's part of an observation. `gain` is the change of the ratio per second of
    /// error, and `step` the reported seconds of a step, that is, seconds per unit of ratio.
    pub fn learn(&mut self, now: Instant, error: f64, gain: f64, step: f64) {
        let factor = self.factor(now) + gain * error;
        self.variance = self.variance(now) * (1.0 - gain * step);
        self.factor = factor.clamp(BOUNDS.0, BOUNDS.1);
        self.last = Some(now);
    }

    /// Keeps the expected time constant when the reported time changes by `1 / ratio`.
    pub fn rescale(&mut self, ratio: f64) {
        self.factor = (self.factor * ratio).clamp(BOUNDS.0, BOUNDS.1);
    }

    fn idle(&self, now: Instant) -> f64 {
        self.last.map_or(0.0, |last| now.saturating_duration_since(last).as_secs_f64())
    }
}
