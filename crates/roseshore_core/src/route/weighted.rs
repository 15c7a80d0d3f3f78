//! Weighted random sampling of targets.
//!
//! A target's speed is known well and changes slowly, while its queue length is known only with
//! delay. Speed therefore determines how often a target is sampled, and queue length only which of
//! the few sampled targets is taken, so that an outdated report can mislead some selections but not
//! all of them.

use crate::load::{LoadTable, TargetIndex};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Instant;

/// Lower bound on a weight, relative to the largest one, so that slow targets are still sampled
/// occasionally.
const MIN_RELATIVE_WEIGHT: f64 = 0.01;

/// Targets and their cumulative weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedSampler {
    rows: Vec<TargetIndex>,
    cumulative: Vec<f64>,
}

impl WeightedSampler {
    /// Creates a sampler in which all targets have equal weight.
    pub fn new(rows: Vec<TargetIndex>) -> WeightedSampler {
        let cumulative = (1..=rows.len()).map(|n| n as f64).collect();
        WeightedSampler { rows, cumulative }
    }

    /// All targets.
    pub fn rows(&self) -> &[TargetIndex] {
        &self.rows
    }

    /// Updates the weights: slots divided by the seconds of a step, from reports and own
    /// observation; unusable targets get the lower bound.
    pub fn update_weights(&mut self, loads: &LoadTable, now: Instant) {
        let weight = |&index: &TargetIndex| {
            let row = loads.row(index);
            if row.usable(now) { row.figures.slots / row.step(now) } else { 0.0 }
        };
        let best = self.rows.iter().map(weight).fold(0.0, f64::max);
        let mut sum = 0.0;
        self.cumulative.clear();
        for row in &self.rows {
            sum += weight(row).max(best * MIN_RELATIVE_WEIGHT);
            self.cumulative.push(sum);
        }
    }

    /// Samples one target; `None` when there is none.
    pub fn draw(&self, random: &mut SmallRng) -> Option<TargetIndex> {
        let total = *self.cumulative.last()?;
        let point = random.random::<f64>() * total;
        let index = self.cumulative.partition_point(|&sum| sum <= point);
        self.rows.get(index.min(self.rows.len() - 1)).copied()
    }
}
