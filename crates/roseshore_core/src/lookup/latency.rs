//! The reply times of a source, from which its hedge delay is derived.
//!
//! The estimate is a smoothed mean and mean deviation, as for a TCP retransmission timer: a hedge
//! is sent once a reply takes longer than nearly all recent ones.

use crate::prelude::*;

const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(300);
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(30);
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATION_FACTOR: f64 = 4.0;

/// The smoothed reply time of a source.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimate {
    smoothed: Option<Smoothed>,
}

#[derive(Clone, Debug)]
struct Smoothed {
    mean: f64,
    deviation: f64,
}

impl LatencyEstimate {
    /// Adds the time that a reply took.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let Some(smoothed) = &mut self.smoothed else {
            self.smoothed = Some(Smoothed { mean: took, deviation: took / 2.0 });
            return;
        };
        let error = took - smoothed.mean;
        smoothed.mean += MEAN_WEIGHT * error;
        smoothed.deviation += DEVIATION_WEIGHT * (error.abs() - smoothed.deviation);
    }

    /// The time after which a reply counts as slow and a hedge is sent.
    pub fn hedge_after(&self) -> Duration {
        let Some(smoothed) = &self.smoothed else { return INITIAL_HEDGE_DELAY };
        let bound = smoothed.mean + DEVIATION_FACTOR * smoothed.deviation;
        Duration::from_secs_f64(bound).clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY)
    }
}
