//! A chain of stand-ins that tile one small model, for tests.

use super::{EngineFake, EngineSettings, text};
use roseshore_core::prelude::*;
use roseshore_wire::engine::{Generate, Stage};
use std::io;
use std::net::SocketAddr;

/// The model of a rig.
pub const MODEL: &str = "indus";
/// The version that a rig's stages hold.
pub const VERSION: &str = "v1";
/// The adapter that a rig's stages hold.
pub const ADAPTER: &str = "safety";
/// The layers of a rig's model; chains of 1, 2, 3, 4 and 6 stages tile them evenly.
pub const LAYERS: Layer = 12;

/// Stand-ins named `engine-0`, `engine-1` and so on, in order of layers.
pub struct Rig {
    /// The stand-ins.
    pub stages: Vec<EngineFake>,
}

impl Rig {
    /// Starts a chain of `count` stages, each with settings changed by `tune`.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn start(count: u16, tune: impl Fn(&mut EngineSettings)) -> io::Result<Rig> {
        let start = |index| {
            let mut settings = Rig::settings(index, count);
            tune(&mut settings);
            EngineFake::start(settings)
        };
        let stages = (0..count).map(start).collect::<io::Result<_>>()?;
        Ok(Rig { stages })
    }

    /// The settings of one stage of a chain of `count`.
    pub fn settings(index: u16, count: u16) -> EngineSettings {
        let part = LAYERS / count;
        let layers = (index * part, (index + 1) * part);
        let name = format!("engine-{index}");
        let mut settings = EngineSettings::holding(&name, MODEL, VERSION, layers);
        settings.adapters.insert(ADAPTER.to_owned());
        settings.step = Duration::from_micros(50);
        settings
    }

    /// Where the first stage listens.
    pub fn addr(&self) -> SocketAddr {
        self.stages[0].addr()
    }

    /// The route over all stages.
    pub fn route(&self) -> Vec<Stage> {
        self.stages.iter().map(EngineFake::stage).collect()
    }

    /// A small request over the whole chain, cold.
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

/// A prompt's tokens, one a word.
pub fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

/// The whole answer to a request.
pub fn whole(ask: &Generate) -> Vec<String> {
    let adapter = ask.adapter.as_deref();
    text::expected(&ask.model, &ask.version, adapter, &ask.prompt, ask.max_tokens)
}
