//! What the stand-ins' speeds allow.

use roseshore_core::prelude::*;

/// How fast one engine is and what it holds.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Time of one step of one token.
    pub step: Duration,
    /// Steps that run at once.
    pub slots: u32,
    /// Prefill rate, tokens a second.
    pub prefill: f64,
}

/// The size of every answer.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Tokens to prefill.
    pub prompt: u32,
    /// Tokens to generate.
    pub tokens: u32,
}

impl Stage {
    /// Answers a second that the stage can do its part of.
    fn rate(&self, work: Work) -> f64 {
        let decode = self.step.as_secs_f64() * f64::from(work.tokens);
        let prefill = f64::from(work.prompt) / self.prefill;
        f64::from(self.slots) / (decode + prefill)
    }
}

/// Answers a second of a model of `layers` layers: every answer passes every layer, so the layer
/// whose holders are slowest together bounds all. 0 when a layer is held by nobody.
pub fn bound(stages: &[Stage], layers: Layer, work: Work) -> f64 {
    let held = |layer: Layer| {
        let holders = stages.iter().filter(|s| (s.layers.0..s.layers.1).contains(&layer));
        holders.map(|s| s.rate(work)).sum::<f64>()
    };
    (0..layers).map(held).reduce(f64::min).unwrap_or(0.0)
}
