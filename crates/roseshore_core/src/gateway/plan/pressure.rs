//! How full the engines of a data centre are, which decides whether a better placement is worth the
//! orders.

use super::LayerRange;
use crate::prelude::*;

/// From this share of the fullest layer's room on, steps to a better placement are taken. Below it
/// nobody is refused for want of room, and loads only make answers late; much higher, small data centres are widened
/// too late.
const STEP_FILL: f64 = 0.6;
/// How much of a new measurement counts; with one each 200 ms, a burst of one second does.
const WEIGHT: f64 = 0.2;
/// Engines that may be under an order for a step to be taken. With no bound, one engine after the other would move
/// to one narrow place before the first has loaded.
const UNSETTLED: usize = 4;

/// What an engine holds, and how much of it is taken.
#[derive(Clone, Copy, Debug)]
pub struct EngineUsage {
    /// The layers it holds.
    pub layers: LayerRange,
    /// KV cache beside its layers, tokens times layers.
    pub capacity: f64,
    /// What requests take of it, tokens times layers.
    pub used: f64,
}

/// The share of the fullest layer's room that is taken.
pub fn peak_utilisation(layers: Layer, engines: impl Iterator<Item = EngineUsage>) -> f64 {
    let mut sums = vec![(0.0, 0.0); usize::from(layers)];
    for engine in engines {
        let (from, to) = engine.layers;
        let width = f64::from(to.saturating_sub(from)).max(1.0);
        let to = usize::from(to).min(sums.len());
        for (taken, room) in &mut sums[usize::from(from).min(to)..to] {
            *taken += engine.used / width;
            *room += engine.capacity / width;
        }
    }
    let shares = sums.iter().filter(|(_, room)| *room > 0.0).map(|(taken, room)| taken / room);
    shares.fold(0.0, f64::max)
}

/// The smoothed share of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    share: f64,
}

impl Pressure {
    /// Takes a measurement.
    pub fn record(&mut self, share: f64) {
        self.share += WEIGHT * (share.min(1.0) - self.share);
    }

    /// Whether a step is worth taking while so many engines are under an order.
    pub fn allows_step(&self, unsettled: usize) -> bool {
        self.share >= STEP_FILL && unsettled <= UNSETTLED
    }
}
