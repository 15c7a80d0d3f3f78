//! Predicted times of one stage.
//!
//! An answer uses a stage's slots only while its steps are there; the rest of its time it spends on
//! other stages and links. So a stage takes more answers than it has slots: the answers divided by
//! the part of its life that an answer spends there, its duty.

use crate::load::{Row, queueing_factor};
use std::time::Instant;

/// A stage whose KV cache cannot take the answer counts as this many times slower.
const FULL: f64 = 8.0;

/// How steeply the cost of a choice grows with the load of a target. Choosing by the caller's own
/// time alone would leave slow targets idle until the fast ones are several times overloaded.
const STEEP: i32 = 3;

/// How much an answer has to do.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Tokens to prefill if nothing is cached.
    pub prompt: u32,
    /// Tokens expected to be generated.
    pub expected: u32,
}

/// What is asked of one stage.
#[derive(Clone, Copy, Debug)]
pub struct StageWork {
    /// The work of the answer.
    pub work: Work,
    /// Part of the layers held that it runs.
    pub layer_share: f64,
    /// Tokens of the prompt that it seems to have cached.
    pub cached: u32,
    /// Seconds that such an answer takes on an idle chain; 0 when unknown.
    pub idle_time: f64,
}

/// Predicted seconds of one stage, without links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageTime {
    /// To the first token.
    pub first_token: f64,
    /// Between tokens.
    pub token_interval: f64,
    /// For the whole answer, if the target were idle.
    pub idle_secs: f64,
    /// What choices are made by: the time for the whole answer, and more the fuller the target.
    pub cost: f64,
}

/// Predicts one stage.
pub fn predict_stage(row: &Row, job: StageWork, now: Instant) -> StageTime {
    let figures = &row.figures;
    let work = job.work;
    let tokens = f64::from(work.prompt) + f64::from(work.expected);
    let full = if tokens > figures.kv_free { FULL } else { 1.0 };
    let slow = row.slowdown(now) * job.layer_share * full;
    let step = figures.step * slow;
    let prefill = |tokens: u32| f64::from(tokens) / figures.prefill * slow;
    let idle_secs = prefill(work.prompt) + step * (1.0 + f64::from(work.expected));
    let duty = if job.idle_time > 0.0 { (idle_secs / job.idle_time).min(1.0) } else { 1.0 };
    let load = (row.depth(now) + 1.0) * duty;
    // A hit counts only while the target has room, so that a hot prefix does not pull for ever.
    let cached = if load <= figures.slots { job.cached } else { 0 };
    let crowding = queueing_factor(load, figures.slots);
    let first_token = prefill(work.prompt.saturating_sub(cached)) + step;
    let alone = first_token + step * f64::from(work.expected);
    let cost = alone * (1.0 + (load / figures.slots).powi(STEEP));
    StageTime {
        first_token: first_token * crowding,
        token_interval: step * crowding,
        idle_secs,
        cost,
    }
}

/// Predicted seconds of one call of a replica.
pub fn predict_call(row: &Row, now: Instant) -> f64 {
    row.step(now) * queueing_factor(row.depth(now) + 1.0, row.figures.slots)
}
