//! How a target's real times compare with what it reports.
//!
//! Only the time of a whole chain's step can be seen, so the error is divided among its stages in
//! proportion to their expected times (normalised least mean squares); over many chains with
//! changing partners it settles on the target that is slow. What is not observed for a while is
//! slowly forgiven, so that a target that recovered is found out.

use std::time::{Duration, Instant};

/// Part of an error that is learned at once.
const RATE: f64 = 0.2;
/// The bounds of the factor.
const BOUNDS: (f64, f64) = (0.1, 100.0);
/// Without an observation, the factor is back at 1 after this time.
const FORGIVE: Duration = Duration::from_mins(1);

/// A factor on reported times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    factor: f64,
    last: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { factor: 1.0, last: None }
    }
}

impl Pace {
    /// How many times longer it takes than it reports.
    pub fn factor(&self, now: Instant) -> f64 {
        let Some(last) = self.last else { return 1.0 };
        let idle = now.saturating_duration_since(last).as_secs_f64();
        let kept = (1.0 - idle / FORGIVE.as_secs_f64()).max(0.0);
        1.0 + (self.factor - 1.0) * kept
    }

    /// Moves the factor towards one that would have explained an observation.
    pub fn learn(&mut self, now: Instant, error: f64) {
        let next = self.factor(now) + RATE * error;
        self.factor = next.clamp(BOUNDS.0, BOUNDS.1);
        self.last = Some(now);
    }

    /// Keeps the expected time when the report it is relative to changes.
    pub fn rescale(&mut self, ratio: f64) {
        self.factor = (self.factor * ratio).clamp(BOUNDS.0, BOUNDS.1);
    }
}
