//! A chain of fake engines that together hold one small model, for tests.

use super::{EngineFake, EngineSettings, text};
use roseshore_core::prelude::*;
use roseshore_wire::engine::{Generate, Stage};
use std::io;
use std::net::SocketAddr;

/// The model of the chain.
pub const MODEL: &str = "indus";
/// The weights version that the stages hold.
pub const VERSION: &str = "v1";
/// The adapter that the stages hold.
pub const ADAPTER: &str = "safety";
/// The number of layers; chains of 1, 2, 3, 4 and 6 stages divide them evenly.
pub const LAYERS: Layer = 12;

/// Engines named `engine-0`, `engine-1` and so on, in order of their layers.
pub struct EngineChain {
    /// The engines of the chain.
    pub stages: Vec<EngineFake>,
}

impl EngineChain {
    /// Starts a chain of `count` stages; `tune` adjusts the settings of each.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn start(count: u16, tune: impl Fn(&mut EngineSettings)) -> io::Result<EngineChain> {
        let start = |index| {
            let mut settings = EngineChain::settings(index, count);
            tune(&mut settings);
            EngineFake::start(settings)
        };
        let stages = (0..count).map(start).collect::<io::Result<_>>()?;
        Ok(EngineChain { stages })
    }

    /// The settings of one stage in a chain of `count`.
    pub fn settings(index: u16, count: u16) -> EngineSettings {
        let part = LAYERS / count;
        let layers = (index * part, (index + 1) * part);
        let name = format!("engine-{index}");
        let mut settings = EngineSettings::holding(&name, MODEL, VERSION, layers);
        settings.adapters.insert(ADAPTER.to_owned());
        settings.step = Duration::from_micros(50);
        settings
    }

    /// The address of the first stage.
    pub fn addr(&self) -> SocketAddr {
        self.stages[0].addr()
    }

    /// The route over all stages.
    pub fn route(&self) -> Vec<Stage> {
        self.stages.iter().map(EngineFake::stage).collect()
    }

    /// A small request over the whole chain, without a prefix or KV cache to reuse.
    pub fn ask(&self, answer: &str, epoch: Epoch) -> Generate {
        Generate {
            answer: answer.to_owned(),
            epoch,
            route: self.route(),
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            adapter: None,
            prompt: words("review plate seven"),
            done: Vec::new(),
            warm: false,
            max_tokens: 12,
            priority: 4,
            trace: None,
        }
    }
}

/// The tokens of a prompt, one per word.
pub fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

/// The complete answer to a request.
pub fn whole(ask: &Generate) -> Vec<String> {
    let adapter = ask.adapter.as_deref();
    text::expected(&ask.model, &ask.version, adapter, &ask.prompt, ask.max_tokens)
}
