//! How full the engines of a data centre are, which decides whether a better placement is worth its
//! orders.

use super::LayerRange;
use crate::prelude::*;

/// Utilisation of the fullest layer from which on the placement is improved. Below it no request is
/// refused for lack of capacity, and loading layers only makes answers late; with a much higher
/// value, small data centres are improved too late.
const MIN_UTILISATION: f64 = 0.6;
/// Weight of a new measurement in the moving average. With a measurement each 200 ms, a burst of
/// one second suffices.
const SMOOTHING: f64 = 0.2;
/// Engines that may be under an order when the placement is improved. Without a bound, one engine
/// after another would move to the same narrow place before the first of them has loaded.
const MAX_UNSETTLED: usize = 4;

/// The layers that an engine holds and the usage of its KV cache.
#[derive(Clone, Copy, Debug)]
pub struct EngineUsage {
    /// The layers that it holds.
    pub layers: LayerRange,
    /// KV cache beside their weights, tokens times layers.
    pub capacity: f64,
    /// KV cache that requests use, tokens times layers.
    pub used: f64,
}

/// Utilisation of the fullest layer's KV cache over all engines that hold it; 0 without engines.
pub fn peak_utilisation(layers: Layer, engines: impl Iterator<Item = EngineUsage>) -> f64 {
    let mut sums = vec![(0.0, 0.0); usize::from(layers)];
    for engine in engines {
        let (from, to) = engine.layers;
        let width = f64::from(to.saturating_sub(from)).max(1.0);
        let to = usize::from(to).min(sums.len());
        for (used, capacity) in &mut sums[usize::from(from).min(to)..to] {
            *used += engine.used / width;
            *capacity += engine.capacity / width;
        }
    }
    let shares =
        sums.iter().filter(|(_, capacity)| *capacity > 0.0).map(|(used, capacity)| used / capacity);
    shares.fold(0.0, f64::max)
}

/// The smoothed utilisation of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    utilisation: f64,
}

impl Pressure {
    /// Adds a measurement to the moving average; values above 1 count as 1.
    pub fn record(&mut self, measured: f64) {
        self.utilisation += SMOOTHING * (measured.min(1.0) - self.utilisation);
    }

    /// Whether the placement may be improved while `unsettled` engines are under an order.
    pub fn allows_step(&self, unsettled: usize) -> bool {
        self.utilisation >= MIN_UTILISATION && unsettled <= MAX_UNSETTLED
    }
}
