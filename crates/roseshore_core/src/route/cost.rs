//! Predicted times of one stage.

use crate::load::{Row, crowd};
use std::time::Instant;

/// A stage whose KV cache cannot take the answer counts as this many times slower.
const FULL: f64 = 8.0;

/// How much an answer has to do.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Tokens to prefill if nothing is cached.
    pub prompt: u32,
    /// Tokens expected to be generated.
    pub expected: u32,
}

/// Predicted seconds of one stage, without links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageTime {
    /// To the first token.
    pub first: f64,
    /// Between tokens.
    pub between: f64,
}

impl StageTime {
    /// Seconds for the whole answer.
    pub fn whole(&self, work: Work) -> f64 {
        self.first + self.between * f64::from(work.expected)
    }
}

/// Predicts one stage that runs `part` of the layers it holds and has `cached` tokens of the prompt.
pub fn stage(row: &Row, work: Work, part: f64, cached: u32, now: Instant) -> StageTime {
    let depth = row.depth(now) + 1.0;
    let figures = &row.figures;
    let factor = row.pace.factor(now);
    let slow = factor * part * crowd(depth, figures.slots);
    let tokens = f64::from(work.prompt) + f64::from(work.expected);
    let full = if tokens > figures.kv_free { FULL } else { 1.0 };
    let between = figures.step * slow * full;
    // A hit counts only while the target has room, so that a hot prefix does not pull for ever.
    let cached = if depth <= figures.slots { cached } else { 0 };
    let prefill = f64::from(work.prompt.saturating_sub(cached)) / figures.prefill * slow * full;
    let wait = figures.queue / figures.slots * between * f64::from(work.expected);
    StageTime { first: wait + prefill + between, between }
}

/// Predicted seconds of one call of a replica.
pub fn call(row: &Row, now: Instant) -> f64 {
    row.step(now) * crowd(row.depth(now) + 1.0, row.figures.slots)
}
