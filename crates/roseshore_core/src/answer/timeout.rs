//! How long a stream may be silent before its route is given up.
//!
//! A frozen stage cannot be told from a slow one but by time. The bound follows what was predicted
//! and what was seen on this very stream (mean and deviation, as for retransmission timeouts), so
//! that slow chains are not cut and fast ones are recovered fast. After a give-up for silence the
//! bound doubles: when everything is slow, giving up again and again would only add load.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations added to the mean.
const DEVIATIONS: f64 = 4.0;
/// The bound doubles at most this often.
const MAX_DOUBLINGS: u32 = 5;

/// Bounds of silence.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeoutSettings {
    /// Time for a stream's head to come.
    pub open: Duration,
    /// Least time to the first token of a route.
    pub prefill: Duration,
    /// Least time between tokens.
    pub decode: Duration,
    /// Multiple of the prediction that is waited for.
    pub factor: f64,
    /// No bound but the prediction's own exceeds this.
    pub ceiling: Duration,
}

impl Default for TimeoutSettings {
    fn default() -> TimeoutSettings {
        TimeoutSettings {
            open: Duration::from_millis(500),
            prefill: Duration::from_millis(500),
            decode: Duration::from_millis(200),
            factor: 4.0,
            ceiling: Duration::from_secs(10),
        }
    }
}

/// The bound for one answer, over all its routes.
#[derive(Clone, Debug)]
pub struct SilenceTimeout {
    rules: TimeoutSettings,
    first: Duration,
    between: Duration,
    mean: f64,
    deviation: f64,
    doublings: u32,
}

impl SilenceTimeout {
    /// A pace without predictions.
    pub fn new(rules: TimeoutSettings) -> SilenceTimeout {
        let zero = Duration::ZERO;
        SilenceTimeout {
            rules,
            first: zero,
            between: zero,
            mean: 0.0,
            deviation: 0.0,
            doublings: 0,
        }
    }

    /// Takes the predictions of a new route; what was seen on the old one no longer counts.
    pub fn set_prediction(&mut self, first: Duration, between: Duration) {
        self.first = first;
        self.between = between;
        self.mean = between.as_secs_f64();
        self.deviation = self.mean / 2.0;
    }

    /// Takes the time from one token to the next.
    pub fn observe(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64();
        let error = (gap - self.mean).abs();
        self.deviation += DEVIATION_GAIN * (error - self.deviation);
        self.mean += MEAN_GAIN * (gap - self.mean);
    }

    /// A route was given up for silence.
    pub fn back_off(&mut self) {
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Time for a stream's head to come.
    pub fn open(&self) -> Duration {
        self.scale(self.rules.open)
    }

    /// Time to the first token after the head.
    pub fn prefill(&self) -> Duration {
        let predicted = self.first.mul_f64(self.rules.factor);
        self.scale(predicted.max(self.rules.prefill))
    }

    /// Time between tokens.
    pub fn decode(&self) -> Duration {
        let predicted = self.between.mul_f64(self.rules.factor);
        let seen = Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation);
        self.scale(predicted.max(seen).max(self.rules.decode))
    }

    fn scale(&self, bound: Duration) -> Duration {
        let stretched = bound * 2_u32.pow(self.doublings);
        stretched.min(self.rules.ceiling.max(bound))
    }
}
