//! Predicted times of one stage.
//!
//! An answer occupies a stage's slots only while one of its steps runs there; the rest of its time
//! it spends on other stages and links. The fraction of its time spent on a stage is the answer's
//! duty on it, and a stage serves as many answers as it has slots divided by the duty.

use crate::load::{Row, queueing_factor};
use std::time::Instant;

/// Factor by which a stage counts as slower when its KV cache cannot hold the answer.
const CACHE_FULL_FACTOR: f64 = 8.0;

/// Exponent with which a target's cost grows with its load. Minimising only the caller's own time
/// would leave slow targets idle until the fast ones are several times overloaded.
const LOAD_EXPONENT: i32 = 3;

/// Size of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Number of tokens to prefill if nothing is cached.
    pub prompt: u32,
    /// Number of tokens expected to be generated.
    pub expected: u32,
}

/// Work requested of one stage.
#[derive(Clone, Copy, Debug)]
pub struct StageWork {
    /// Size of the answer.
    pub work: Work,
    /// Fraction of the target's layers that the stage runs.
    pub layer_share: f64,
    /// Number of prompt tokens that the target probably has cached.
    pub cached: u32,
    /// Predicted seconds of such an answer on an idle chain; 0 when unknown.
    pub idle_time: f64,
}

/// Predicted seconds of one stage, without network delays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageTime {
    /// Seconds to the first token.
    pub first_token: f64,
    /// Seconds between two tokens.
    pub token_interval: f64,
    /// Seconds for the whole answer if the target were idle.
    pub idle_secs: f64,
    /// Cost by which candidates are compared: the seconds for the whole answer, increased with the
    /// target's load.
    pub cost: f64,
}

/// Predicts the times of one stage.
pub fn predict_stage(row: &Row, job: StageWork, now: Instant) -> StageTime {
    let figures = &row.figures;
    let work = job.work;
    let tokens = f64::from(work.prompt) + f64::from(work.expected);
    let full = if tokens > figures.kv_free { CACHE_FULL_FACTOR } else { 1.0 };
    let scale = row.slowdown(now) * job.layer_share * full;
    let step = figures.step * scale;
    let prefill = |tokens: u32| f64::from(tokens) / figures.prefill * scale;
    let idle_secs = prefill(work.prompt) + step * (1.0 + f64::from(work.expected));
    let duty = if job.idle_time > 0.0 { (idle_secs / job.idle_time).min(1.0) } else { 1.0 };
    let load = (row.depth(now) + 1.0) * duty;
    // A cache hit counts only while the target has free slots; otherwise a popular prefix would
    // keep attracting requests to a full target.
    let cached = if load <= figures.slots { job.cached } else { 0 };
    let crowding = queueing_factor(load, figures.slots);
    let first_token = prefill(work.prompt.saturating_sub(cached)) + step;
    let answer_secs = first_token + step * f64::from(work.expected);
    let cost = answer_secs * (1.0 + (load / figures.slots).powi(LOAD_EXPONENT));
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
