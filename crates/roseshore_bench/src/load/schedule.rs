//! Generates the arrival times of requests.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of its part in the mix.
    pub part: usize,
}

/// Poisson arrivals at `rate` per second over `span`, each assigned to a part at random in
/// proportion to `weights`. The same seed gives the same arrivals. Empty if the rate or the sum of
/// the weights is not positive.
pub fn arrivals(rate: f64, span: Duration, weights: &[f64], seed: u64) -> Vec<Arrival> {
    let whole: f64 = weights.iter().sum();
    if rate <= 0.0 || whole <= 0.0 {
        return Vec::new();
    }
    let mut random = SmallRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        // `random` is below 1, so the argument of the logarithm is never 0.
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= span.as_secs_f64() {
            return all;
        }
        let part = part_at(weights, random.random::<f64>() * whole);
        all.push(Arrival { at: Duration::from_secs_f64(at), part });
    }
}

/// Index of the part whose interval holds `place` when the weights are laid end to end from 0.
pub fn part_at(weights: &[f64], place: f64) -> usize {
    let mut upto = 0.0;
    let found = weights.iter().position(|weight| {
        upto += weight;
        place < upto
    });
    // Through rounding, `place` may equal the sum of the weights.
    found.unwrap_or(weights.len().saturating_sub(1))
}
