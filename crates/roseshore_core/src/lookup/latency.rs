//! How long a source takes, for the hedge delay.
//!
//! A smoothed mean and deviation, as a retransmission timer keeps them: a hedge goes out once a
//! reply is later than nearly all replies lately were.

use crate::prelude::*;

const SHORTEST: Duration = Duration::from_millis(5);
const LONGEST: Duration = Duration::from_millis(300);
const UNKNOWN: Duration = Duration::from_millis(30);
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// The smoothed time of a source's replies.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimate {
    known: Option<Smoothed>,
}

#[derive(Clone, Debug)]
struct Smoothed {
    mean: f64,
    deviation: f64,
}

impl LatencyEstimate {
    /// Takes note of a reply's time.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let Some(known) = &mut self.known else {
            self.known = Some(Smoothed { mean: took, deviation: took / 2.0 });
            return;
        };
        let error = took - known.mean;
        known.mean += MEAN_WEIGHT * error;
        known.deviation += DEVIATION_WEIGHT * (error.abs() - known.deviation);
    }

    /// The time after which a reply counts as slow.
    pub fn hedge_after(&self) -> Duration {
        let Some(known) = &self.known else { return UNKNOWN };
        let bound = known.mean + DEVIATIONS * known.deviation;
        Duration::from_secs_f64(bound).clamp(SHORTEST, LONGEST)
    }
}
