//! Random draws among targets, by what each can do.
//!
//! Which target is fast is known well and changes slowly; how long its queue is now is known late.
//! So the first decides how often a target is looked at, and the second only which of the few drawn
//! ones is taken: a late report can then mislead a few choices and never all of them.

use crate::load::{LoadTable, TargetIndex};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Instant;

/// The least part of the best target's weight; a slow one is still tried now and then.
const LEAST: f64 = 0.01;

/// Targets with the weights at which they are drawn.
#[derive(Clone, Debug, Default)]
pub struct WeightedSampler {
    rows: Vec<TargetIndex>,
    sums: Vec<f64>,
}

impl WeightedSampler {
    /// Targets that are drawn alike until they are weighed.
    pub fn new(rows: Vec<TargetIndex>) -> WeightedSampler {
        let sums = (1..=rows.len()).map(|n| n as f64).collect();
        WeightedSampler { rows, sums }
    }

    /// All of them.
    pub fn rows(&self) -> &[TargetIndex] {
        &self.rows
    }

    /// Weighs anew: units a second, by reports and own observation; none for an unusable one.
    pub fn update_weights(&mut self, loads: &LoadTable, now: Instant) {
        let weight = |&index: &TargetIndex| {
            let row = loads.row(index);
            if row.usable(now) { row.figures.slots / row.step(now) } else { 0.0 }
        };
        let best = self.rows.iter().map(weight).fold(0.0, f64::max);
        let mut sum = 0.0;
        self.sums.clear();
        for row in &self.rows {
            sum += weight(row).max(best * LEAST);
            self.sums.push(sum);
        }
    }

    /// One of them; `None` when there is none.
    pub fn draw(&self, random: &mut SmallRng) -> Option<TargetIndex> {
        let total = *self.sums.last()?;
        let point = random.random::<f64>() * total;
        let place = self.sums.partition_point(|&sum| sum <= point);
        self.rows.get(place.min(self.rows.len() - 1)).copied()
    }
}
