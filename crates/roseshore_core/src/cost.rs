//! What it costs to go on with an answer over another chain.
//!
//! Going on needs the KV cache of prompt and delivered tokens on every stage. Either each stage has
//! it already or gets it from a target that still has it, through this daemon; or the new chain
//! prefills anew. [`plan`] says which is sooner. Caches are moved one after another.

use crate::answer::lineage::Stage;
use crate::answer::message::Move;
use std::time::Duration;

/// Weight of a new sample in the rate.
const GAIN: f64 = 0.25;

/// What moving KV caches takes, learned from moves.
#[derive(Clone, Debug, PartialEq)]
pub struct Rates {
    /// Time of one move whatever its size.
    pub fixed: Duration,
    /// Seconds for one token in one layer.
    pub unit: f64,
}

impl Default for Rates {
    /// Two round trips, and 4 KiB a token and layer in base64 over 1 Gbit/s, there and back.
    fn default() -> Rates {
        Rates { fixed: Duration::from_millis(5), unit: 2.0 * 4096.0 * 1.33 / 125e6 }
    }
}

impl Rates {
    /// The time of moving `tokens` tokens of `layers` layers.
    pub fn predict(&self, tokens: u32, layers: u16) -> Duration {
        let units = f64::from(tokens) * f64::from(layers);
        self.fixed + Duration::from_secs_f64(units * self.unit)
    }

    /// Takes the time that a move took.
    pub fn observe(&mut self, tokens: u32, layers: u16, took: Duration) {
        let units = f64::from(tokens) * f64::from(layers);
        if units < 1.0 {
            return;
        }
        let unit = took.saturating_sub(self.fixed).as_secs_f64() / units;
        self.unit += GAIN * (unit - self.unit);
    }
}

/// A stage that worked on the answer.
#[derive(Clone, Debug)]
pub struct Held {
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
    Warm(Vec<Move>, Duration),
}

/// The sooner way to go on with `tokens` tokens over `new`, when a prefill there takes `cold`.
pub fn plan(old: &[Held], new: &[Stage], tokens: u32, cold: Duration, rates: &Rates) -> Plan {
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
        moves.push(Move { from: held.stage.clone(), to: to.clone() });
    }
    if total < cold { Plan::Warm(moves, total) } else { Plan::Cold }
}

/// The cache for a new stage: of exactly its layers, its own first.
fn source<'a>(old: &'a [Held], to: &Stage) -> Option<&'a Held> {
    let held = old.iter().find(|h| h.usable && h.stage.layers == to.layers)?;
    let same = held.stage.target == to.target;
    let reborn = same && held.stage.incarnation != to.incarnation;
    (!reborn).then_some(held)
}
