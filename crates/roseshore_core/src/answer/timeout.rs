//! Timeout after which a silent stream's route is abandoned.
//!
//! A frozen stage can be told from a slow one only by time. The timeout follows the prediction and
//! the intervals observed on this stream (mean and deviation, as in TCP's retransmission timeout),
//! so that slow chains are not cut off and failures of fast ones are noticed soon. It doubles each
//! time a route is abandoned for silence: when everything is slow, abandoning again and again would
//! only add load.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Number of deviations added to the mean.
const DEVIATIONS: f64 = 4.0;
/// Maximum number of times that the timeout doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Bounds of the silence timeout.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeoutSettings {
    /// Timeout for the head of a stream.
    pub open: Duration,
    /// Lower bound on the timeout for the first token of a route.
    pub prefill: Duration,
    /// Lower bound on the timeout between tokens.
    pub decode: Duration,
    /// Multiple of the predicted time after which the stream counts as silent.
    pub factor: f64,
    /// Limit on the doubling; a timeout that exceeds this before any doubling is kept as it is.
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

/// The silence timeout of one answer, across all of its routes.
#[derive(Clone, Debug)]
pub struct SilenceTimeout {
    settings: TimeoutSettings,
    first_token: Duration,
    token_interval: Duration,
    mean: f64,
    deviation: f64,
    doublings: u32,
}

impl SilenceTimeout {
    /// Creates a timeout without predictions.
    pub fn new(settings: TimeoutSettings) -> SilenceTimeout {
        let zero = Duration::ZERO;
        SilenceTimeout {
            settings,
            first_token: zero,
            token_interval: zero,
            mean: 0.0,
            deviation: 0.0,
            doublings: 0,
        }
    }

    /// Sets the predicted times of a new route and discards the observations of the old one.
    pub fn set_prediction(&mut self, first_token: Duration, token_interval: Duration) {
        self.first_token = first_token;
        self.token_interval = token_interval;
        self.mean = token_interval.as_secs_f64();
        self.deviation = self.mean / 2.0;
    }

    /// Adds the interval between two tokens.
    pub fn observe(&mut self, interval: Duration) {
        let interval = interval.as_secs_f64();
        let error = (interval - self.mean).abs();
        self.deviation += DEVIATION_GAIN * (error - self.deviation);
        self.mean += MEAN_GAIN * (interval - self.mean);
    }

    /// Doubles the timeout, up to a bound, after a route was abandoned for silence.
    pub fn back_off(&mut self) {
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Timeout for the head of a stream.
    pub fn open(&self) -> Duration {
        self.scale(self.settings.open)
    }

    /// Timeout for the first token, counted from the head.
    pub fn prefill(&self) -> Duration {
        let predicted = self.first_token.mul_f64(self.settings.factor);
        self.scale(predicted.max(self.settings.prefill))
    }

    /// Timeout between tokens.
    pub fn decode(&self) -> Duration {
        let predicted = self.token_interval.mul_f64(self.settings.factor);
        let observed = Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation);
        self.scale(predicted.max(observed).max(self.settings.decode))
    }

    fn scale(&self, bound: Duration) -> Duration {
        let stretched = bound * 2_u32.pow(self.doublings);
        stretched.min(self.settings.ceiling.max(bound))
    }
}
