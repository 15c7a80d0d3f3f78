//! Cost of resuming an answer on another chain.
//!
//! Every stage of the new chain needs the KV cache of the prompt and the delivered tokens. Either
//! each stage has it or receives it, through this daemon, from a target that still does, or the new
//! chain prefills from scratch. [`plan`] picks the faster way. Caches are moved one after another.

use crate::answer::lineage::Stage;
use crate::answer::message::CacheMove;
use std::time::Duration;

/// Weight of a new move in the running means.
const GAIN: f64 = 0.2;
/// Minimum variance of the sizes, relative to their mean square, at which the time per unit can be
/// told from the fixed time.
const MIN_RELATIVE_VARIANCE: f64 = 0.01;
/// Seconds that a move takes regardless of its size, before any was observed.
const INITIAL_FIXED_SECS: f64 = 0.005;
/// Seconds for one token in one layer, before any move was observed: 4 KiB in base64 over 1 Gbit/s,
/// there and back.
const INITIAL_UNIT_SECS: f64 = 2.0 * 4096.0 * 1.33 / 125e6;
/// Size, in tokens times layers, of the larger of the two moves that the initial estimate stands
/// for.
const INITIAL_SIZE: f64 = 16_000.0;

/// Predicts the time of moving KV caches: a line through time over size, fitted by least squares
/// with exponentially decaying weights.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveCostModel {
    fixed: f64,
    per_unit: f64,
    mean_size: f64,
    mean_time: f64,
    mean_square: f64,
    mean_product: f64,
}

impl Default for MoveCostModel {
    fn default() -> MoveCostModel {
        let half = INITIAL_SIZE / 2.0;
        let mean_square = INITIAL_SIZE * half;
        MoveCostModel {
            fixed: INITIAL_FIXED_SECS,
            per_unit: INITIAL_UNIT_SECS,
            mean_size: half,
            mean_time: INITIAL_FIXED_SECS + half * INITIAL_UNIT_SECS,
            mean_square,
            mean_product: half * INITIAL_FIXED_SECS + mean_square * INITIAL_UNIT_SECS,
        }
    }
}

impl MoveCostModel {
    /// Predicted time of moving `tokens` tokens of `layers` layers.
    pub fn predict(&self, tokens: u32, layers: u16) -> Duration {
        Duration::from_secs_f64(self.fixed + size(tokens, layers) * self.per_unit)
    }

    /// Adds the measured time of a move.
    pub fn observe(&mut self, tokens: u32, layers: u16, took: Duration) {
        let (size, time) = (size(tokens, layers), took.as_secs_f64());
        self.mean_size += GAIN * (size - self.mean_size);
        self.mean_time += GAIN * (time - self.mean_time);
        self.mean_square += GAIN * (size * size - self.mean_square);
        self.mean_product += GAIN * (size * time - self.mean_product);
        let variance = self.mean_square - self.mean_size * self.mean_size;
        if variance > MIN_RELATIVE_VARIANCE * self.mean_square {
            let slope = (self.mean_product - self.mean_size * self.mean_time) / variance;
            self.per_unit = slope.max(0.0);
        }
        self.fixed = self.mean_time - self.per_unit * self.mean_size;
        if self.fixed < 0.0 {
            self.fixed = 0.0;
            self.per_unit = self.mean_time / self.mean_size;
        }
    }
}

fn size(tokens: u32, layers: u16) -> f64 {
    f64::from(tokens) * f64::from(layers)
}

/// A stage of an earlier route that may hold the answer's KV cache.
#[derive(Clone, Debug)]
pub struct CachedStage {
    /// The stage, with the layers that it ran.
    pub stage: Stage,
    /// Whether its KV cache is reachable and can be trusted.
    pub usable: bool,
}

/// How to resume an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// With a new prefill.
    Cold,
    /// With the KV cache, after these moves, which take this long in total; no move is needed when
    /// every stage already holds the cache.
    Warm(Vec<CacheMove>, Duration),
}

/// The faster way to resume with `tokens` tokens on `new`, where a prefill takes `cold`.
pub fn plan(
    old: &[CachedStage],
    new: &[Stage],
    tokens: u32,
    cold: Duration,
    move_cost: &MoveCostModel,
) -> Plan {
    let mut moves = Vec::new();
    let mut total = Duration::ZERO;
    for to in new {
        let Some(held) = source(old, to) else {
            return Plan::Cold;
        };
        if held.stage.target == to.target {
            continue;
        }
        total += move_cost.predict(tokens, to.layers.1 - to.layers.0);
        moves.push(CacheMove { from: held.stage.clone(), to: to.clone() });
    }
    if total < cold { Plan::Warm(moves, total) } else { Plan::Cold }
}

/// The stage whose cache serves a new stage: it ran exactly the same layers. `None` if there is
/// none, or if it is the same target with another incarnation.
fn source<'a>(old: &'a [CachedStage], to: &Stage) -> Option<&'a CachedStage> {
    let held = old.iter().find(|h| h.usable && h.stage.layers == to.layers)?;
    let same_target = held.stage.target == to.target;
    let restarted = same_target && held.stage.incarnation != to.incarnation;
    (!restarted).then_some(held)
}
