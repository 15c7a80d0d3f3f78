//! The upper bound on throughput that follows from the speeds of the simulated engines.

use roseshore_core::prelude::*;

/// The speed of one engine and the layers that it holds.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// First layer and one past the last layer.
    pub layers: (Layer, Layer),
    /// Duration of a decode step, which generates one token.
    pub step: Duration,
    /// Number of steps that run concurrently.
    pub slots: u32,
    /// Prefill rate, tokens per second.
    pub prefill: f64,
}

/// The work of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Tokens to prefill.
    pub prompt: u32,
    /// Tokens to generate.
    pub tokens: u32,
}

impl Stage {
    /// Answers per second that the stage can process.
    fn rate(&self, work: Work) -> f64 {
        let decode = self.step.as_secs_f64() * f64::from(work.tokens);
        let prefill = f64::from(work.prompt) / self.prefill;
        f64::from(self.slots) / (decode + prefill)
    }
}

/// Upper bound on answers per second of a model of `layers` layers. Every answer passes through every
/// layer, so the layer with the lowest total rate over its engines is the bottleneck. 0 if no engine
/// holds some layer.
pub fn throughput_bound(stages: &[Stage], layers: Layer, work: Work) -> f64 {
    let held = |layer: Layer| {
        let holders = stages.iter().filter(|s| (s.layers.0..s.layers.1).contains(&layer));
        holders.map(|s| s.rate(work)).sum::<f64>()
    };
    (0..layers).map(held).reduce(f64::min).unwrap_or(0.0)
}
