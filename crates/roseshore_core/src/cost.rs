//! What it costs to go on with an answer over another chain.
//!
//! Going on needs the KV cache of prompt and delivered tokens on every stage. Either each stage has
//! it already or gets it from a target that still has it, through this daemon; or the new chain
//! prefills anew. [`plan`] says which is sooner. Caches are moved one after another.

use crate::answer::lineage::Stage;
use crate::answer::message::CacheMove;
use std::time::Duration;

/// Weight of a new move among those seen.
const GAIN: f64 = 0.2;
/// Least spread of sizes, relative to their squares, that tells size from fixed cost.
const LEAST_SPREAD: f64 = 0.01;
/// Time of one move whatever its size, before any was seen, seconds.
const FIXED: f64 = 0.005;
/// Seconds for one token in one layer, before any move was seen: 4 KiB in base64 over 1 Gbit/s,
/// there and back.
const UNIT: f64 = 2.0 * 4096.0 * 1.33 / 125e6;
/// Size of the larger of the two moves that stand for what is assumed at first, tokens by layers.
const ASSUMED: f64 = 16_000.0;

/// What moving KV caches takes, learned from moves: a line through time over size, fitted by least
/// squares in which older moves count less and less.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveCostModel {
    fixed: f64,
    unit: f64,
    size: f64,
    time: f64,
    square: f64,
    product: f64,
}

impl Default for MoveCostModel {
    fn default() -> MoveCostModel {
        let half = ASSUMED / 2.0;
        let square = ASSUMED * half;
        MoveCostModel {
            fixed: FIXED,
            unit: UNIT,
            size: half,
            time: FIXED + half * UNIT,
            square,
            product: half * FIXED + square * UNIT,
        }
    }
}

impl MoveCostModel {
    /// The time of moving `tokens` tokens of `layers` layers.
    pub fn predict(&self, tokens: u32, layers: u16) -> Duration {
        Duration::from_secs_f64(self.fixed + size(tokens, layers) * self.unit)
    }

    /// Takes the time that a move took.
    pub fn observe(&mut self, tokens: u32, layers: u16, took: Duration) {
        let (size, time) = (size(tokens, layers), took.as_secs_f64());
        self.size += GAIN * (size - self.size);
        self.time += GAIN * (time - self.time);
        self.square += GAIN * (size * size - self.square);
        self.product += GAIN * (size * time - self.product);
        let spread = self.square - self.size * self.size;
        if spread > LEAST_SPREAD * self.square {
            let slope = (self.product - self.size * self.time) / spread;
            self.unit = slope.max(0.0);
        }
        self.fixed = self.time - self.unit * self.size;
        if self.fixed < 0.0 {
            self.fixed = 0.0;
            self.unit = self.time / self.size;
        }
    }
}

fn size(tokens: u32, layers: u16) -> f64 {
    f64::from(tokens) * f64::from(layers)
}

/// A stage that worked on the answer.
#[derive(Clone, Debug)]
pub struct CachedStage {
    /// The stage.
    pub stage: Stage,
    /// Whether its KV cache can be had and trusted.
    pub usable: bool,
}

/// How to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// By a new prefill.
    Cold,
    /// With the KV cache, after these moves; none are needed when every stage has it.
    Warm(Vec<CacheMove>, Duration),
}

/// The sooner way to go on with `tokens` tokens over `new`, when a prefill there takes `cold`.
pub fn plan(
    old: &[CachedStage],
    new: &[Stage],
    tokens: u32,
    cold: Duration,
    rates: &MoveCostModel,
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
        total += rates.predict(tokens, to.layers.1 - to.layers.0);
        moves.push(CacheMove { from: held.stage.clone(), to: to.clone() });
    }
    if total < cold { Plan::Warm(moves, total) } else { Plan::Cold }
}

/// The cache for a new stage: of exactly its layers, its own first.
fn source<'a>(old: &'a [CachedStage], to: &Stage) -> Option<&'a CachedStage> {
    let held = old.iter().find(|h| h.usable && h.stage.layers == to.layers)?;
    let same = held.stage.target == to.target;
    let reborn = same && held.stage.incarnation != to.incarnation;
    (!reborn).then_some(held)
}
