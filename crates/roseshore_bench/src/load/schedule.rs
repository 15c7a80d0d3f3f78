//! When requests arrive.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// One request that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    /// When, from the start of the run.
    pub at: Duration,
    /// Which part of the mix it belongs to.
    pub part: usize,
}

/// Arrivals without memory of each other at `rate` a second over `span`, each of a part drawn by
/// its weight; the same seed gives the same arrivals. Empty when nothing can arrive.
pub fn arrivals(rate: f64, span: Duration, weights: &[f64], seed: u64) -> Vec<Due> {
    let whole: f64 = weights.iter().sum();
    if rate <= 0.0 || whole <= 0.0 {
        return Vec::new();
    }
    let mut random = SmallRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        // One less a number below one is never zero, so its logarithm is finite.
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= span.as_secs_f64() {
            return all;
        }
        let part = drawn(weights, random.random::<f64>() * whole);
        all.push(Due { at: Duration::from_secs_f64(at), part });
    }
}

/// The part in which a place on the line of all weights lies.
pub fn drawn(weights: &[f64], place: f64) -> usize {
    let mut upto = 0.0;
    let found = weights.iter().position(|weight| {
        upto += weight;
        place < upto
    });
    // Rounding may leave the place at the very end.
    found.unwrap_or(weights.len().saturating_sub(1))
}
